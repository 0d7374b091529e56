check_history ()
