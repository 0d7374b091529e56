-- Functions for configuration scenarios.  The active configuration number of
-- each host must never decrease.

read_numbers = {}

-- Returns the status of HOST, or nil if it is unavailable.
function status_of (host)
  local it = hosts[host]
  if not it.pid or it.frozen then return nil end
  local code, output = ctl (host, "--json", "status")
  local value = code == 0 and system.json (output) or nil
  if value and value.ready then
    local before = read_numbers[host] or 0
    check (value.config_number >= before, "%s went back from %d to %d", host,
           before, value.config_number)
    read_numbers[host] = value.config_number
  end
  return value
end

-- Waits until all running hosts have VERSION of the file and the same
-- configuration number.
function in_force (version, limit)
  wait_until (function ()
    local number
    for _, name in ipairs (sorted (hosts)) do
      local it = hosts[name]
      if it.pid and not it.frozen then
        local value = status_of (name)
        if not value or not value.ready or not value.files[1]
          or value.files[1].version ~= version
          or value.config_number ~= (number or value.config_number) then
          return false
        end
        number = value.config_number
      end
    end
    return true
  end, "version " .. version .. " everywhere", limit or 20000)
end

local commands = 0

-- Starts marjoramctl in the background to apply TEXT at HOST with change ID.
function begin_apply (host, id, text)
  commands = commands + 1
  local base = system.folder .. "/begun-" .. commands
  local file = assert (io.open (base .. ".ini", "w"))
  file:write (text)
  file:close ()
  return { output = base .. ".out", pid = system.spawn ({
    system.programs .. "/marjoramctl", "--json", "--host",
    hosts[host].control, "--secret-file", system.folder .. "/secret",
    "--change-id", id, "apply", base .. ".ini" }, base .. ".out") }
end

-- Waits for a command from begin_apply.  Returns its exit status, parsed
-- response and output.
function finish_apply (command)
  local code = wait_until (function () return system.ended (command.pid) end,
                           "marjoramctl", 40000)
  local file = io.open (command.output)
  local text = file:read ("a")
  file:close ()
  return code, system.json (text:match ("%b{}") or "{}") or {}, text
end

function apply_as (host, id, text)
  return finish_apply (begin_apply (host, id, text))
end

-- Returns the operators' file with a comment that makes it differ from others
-- of the same VERSION.
function variant (version, word)
  return operators_file (version) .. "# " .. word .. "\n"
end

-- Retries an apply until its outcome is known.
function apply_surely (host, id, text)
  local code, answer
  wait_until (function ()
    code, answer = apply_as (host, id, text)
    return code ~= 4 and code ~= 5 and code ~= 3
  end, "an outcome of " .. id, 60000)
  return code, answer
end
