-- What the bench scenarios share: the load tool, and what a process used.

function metric (name, value, unit, baseline, baseline_name)
  print (string.format ("metric=%s value=%.3f unit=%s baseline=%.3f "
                        .. "baseline_name=%s", name, value, unit,
                        baseline or 0, baseline_name or "none"))
end

local runs = 0

-- Starts tool_load {address, rate, seconds, body, path, token, key_prefix}.
function start_load (options)
  runs = runs + 1
  local output = system.folder .. "/load-" .. runs
  local arguments = { system.programs .. "/tool_load" }
  for _, name in ipairs (sorted (options)) do
    arguments[#arguments + 1] = "--" .. name:gsub ("_", "-")
    arguments[#arguments + 1] = tostring (options[name])
  end
  return { pid = system.spawn (arguments, output), output = output }
end

function load_result (load)
  wait_until (function () return system.ended (load.pid) end, "the load",
              1000000)
  for line in io.lines (load.output) do
    local value = system.json (line)
    if value then return value end
  end
  error ("the load tool printed nothing")
end

function load (options)
  return load_result (start_load (options))
end

-- Processor seconds that a host has used.
function processor_seconds (name)
  local text = io.open ("/proc/" .. hosts[name].pid .. "/stat"):read ("a")
  local fields = {}
  for word in text:match ("%) (.*)"):gmatch ("%S+") do
    fields[#fields + 1] = word
  end
  return (fields[12] + fields[13]) / 100
end

-- Resident bytes of a host.
function resident (name)
  local text = io.open ("/proc/" .. hosts[name].pid .. "/status"):read ("a")
  return text:match ("VmRSS:%s*(%d+)") * 1024
end
