# Turns lines "metric=NAME KEY=VALUE ... value=N unit=U baseline=N
# baseline_name=NAME" into a table.  Lines that differ in seed only become one
# row with minimum, median and maximum of value and of value/baseline.
function sorted_insert(list, n, x,    i) {
  for (i = n; i > 0 && list[i] > x; i--)
    list[i + 1] = list[i]
  list[i + 1] = x
}
function short(x) { return sprintf("%.4g", x) }
function spread(store, key, n,    i, list) {
  for (i = 1; i <= n; i++) sorted_insert(list, i - 1, store[key, i])
  if (n == 1) return short(list[1])
  return short(list[1]) " / " short(list[int((n + 1) / 2)]) " / " short(list[n])
}
/^metric=/ {
  delete field; rest = ""
  for (i = 1; i <= NF; i++) {
    at = index($i, "=")
    name = substr($i, 1, at - 1); value = substr($i, at + 1)
    field[name] = value
    if (name != "metric" && name != "value" && name != "unit" \
        && name != "baseline" && name != "baseline_name" && name != "seed")
      rest = rest (rest == "" ? "" : ", ") name " " value
  }
  key = field["metric"] SUBSEP rest
  if (!(key in count)) { order[++rows] = key; label[key] = field["metric"]
    more[key] = rest; unit[key] = field["unit"]; }
  if (("baseline_name" in field) && !((key, field["baseline_name"]) in known)) {
    known[key, field["baseline_name"]] = 1
    base[key] = base[key] (base[key] == "" ? "" : " or ") field["baseline_name"]
  }
  n = ++count[key]
  values[key, n] = field["value"] + 0
  if ("baseline" in field) {
    bases[key, n] = field["baseline"] + 0
    based[key]++
    if (field["baseline"] + 0 != 0)
      { ratios[key, ++ratioed[key]] = field["value"] / field["baseline"] }
  }
}
END {
  print "| metric | of | value | unit | baseline | ratio |"
  print "|---|---|---|---|---|---|"
  for (r = 1; r <= rows; r++) {
    key = order[r]
    b = based[key] ? spread(bases, key, based[key]) " " base[key] : ""
    q = ratioed[key] ? spread(ratios, key, ratioed[key]) : ""
    print "| " label[key] " | " more[key] " | " spread(values, key, count[key]) " | " unit[key] " | " b " | " q " |"
  }
}
