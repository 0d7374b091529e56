-- Scenario functions, built on the table "system" of tool_scenario.c.  A site
-- consists of zones, models, services, callers and upstreams.  Each pair of
-- connected processes communicates through its own relay.

hosts, upstreams, zones, attempts, extra_logs = {}, {}, {}, {}, {}
local links, next_port, made, history, history_read = {}, 20000, 0, {}, 0
local folder = system.folder
local history_file = folder .. "/history"
local FIRST_LIMIT, DEFAULT_SLOTS, READING_MS = 20000, 64, 200

local function address ()
  next_port = next_port + 1
  return system.address .. ":" .. next_port
end

local function write (path, text)
  local file = assert (io.open (path, "w"))
  file:write (text)
  file:close ()
end

local function read (path)
  local file = io.open (path)
  local text = file and file:read ("a") or ""
  if file then file:close () end
  return text
end

-- Returns the keys of SET in sorted order, for reproducible runs.
function sorted (set)
  local keys = {}
  for key in pairs (set) do keys[#keys + 1] = key end
  table.sort (keys)
  return keys
end

function log (...)
  io.stderr:write (string.format (...), "\n")
end

-- Time ---------------------------------------------------------------------

-- Checks that the active configuration number of a host never decreases, not
-- even across restarts.  It is 0 while there is no active configuration.
local function check_config_number (host, body)
  local number = tonumber (body:match ("\nmarjoram_config_number (%d+)")) or 0
  if number > 0 and number < host.number then
    error (string.format ("%s went back from configuration %d to %d",
                          host.name, host.number, number), 0)
  end
  host.number = math.max (host.number, number)
end

-- Polls the metrics page of each host in the background.
local function poll_metrics ()
  local now = system.now ()
  for _, host in pairs (hosts) do
    if host.reader then
      local whole, _, body = system.answer (host.reader)
      if whole ~= nil then
        if whole then check_config_number (host, body) end
        system.hang_up (host.reader)
        host.reader = nil
      end
    elseif host.pid and now >= host.next_reading then
      host.next_reading = now + READING_MS
      host.reader = system.call { address = host.entry, method = "GET",
                                  path = "/metrics", timeout = 5000 }
    end
  end
end

local function turn (ms)
  system.turn (ms)
  poll_metrics ()
end

function wait_until (condition, what, limit)
  local last = system.now () + (limit or FIRST_LIMIT)
  while true do
    local value = condition ()
    if value then return value end
    if system.now () > last then
      error ("timed out waiting for " .. (what or "a condition"), 2)
    end
    turn (20)
  end
end

-- Runs the event loop for MS milliseconds.
function pause (ms)
  local last = system.now () + ms
  while system.now () < last do turn (last - system.now ()) end
end

-- Processes ----------------------------------------------------------------

local function find_process (name)
  return hosts[name] or upstreams[name]
    or error ("unknown process " .. name, 3)
end

local function each_link_to (name, change)
  for _, link in pairs (links) do
    if link.to == name then change (link) end
  end
end

local function refresh (link)
  local down = not find_process (link.to).pid
  system.relay_set (link.relay, down and "refuse"
                    or link.held and "hold" or "pass")
end

function start (name)
  local it = find_process (name)
  it.pid = system.spawn (it.arguments, it.log)
  it.status = nil
  it.frozen = false
  each_link_to (name, refresh)
end

local function has_exited (it)
  it.status = it.pid and system.ended (it.pid) or it.status
  if it.pid and it.status then
    it.pid = nil
    each_link_to (it.name, refresh)
  end
  return not it.pid
end

-- Kills the process without warning.
function kill (name)
  local it = find_process (name)
  it.killed = true
  system.signal (it.pid, "kill")
  wait_until (function () return has_exited (it) end, name .. " to die")
end

-- Requests a graceful shutdown.
function stop (name)
  system.signal (find_process (name).pid, "terminate")
end

function stopped (name, limit)
  local it = find_process (name)
  wait_until (function () return has_exited (it) end, name .. " to stop",
              limit)
  return it.status
end

function freeze (name)
  find_process (name).frozen = true
  system.signal (find_process (name).pid, "stop")
end

function thaw (name)
  find_process (name).frozen = false
  system.signal (find_process (name).pid, "continue")
end

-- Returns whether the process has exited.
function died (name)
  return has_exited (find_process (name))
end

-- Links --------------------------------------------------------------------

-- Creates a relay, or returns TARGET if the site is "direct".
local function relay (from, to, target)
  if site_of.direct then return target end
  local link = { from = from, to = to, address = address () }
  link.relay = assert (system.relay (link.address, target))
  links[from .. ">" .. to] = link
  return link.address
end

-- Resolves NAME, a process or a zone, to a set of process names.
local function members (name)
  if name == "caller" or hosts[name] or upstreams[name] then
    return { [name] = true }
  end
  local set = {}
  for _, host in ipairs (zones[name]
                         or error ("unknown zone or process " .. name, 3)) do
    set[host.name] = true
  end
  return set
end

local function between (a, b, change)
  local left, right = members (a), members (b)
  for _, key in ipairs (sorted (links)) do
    local link = links[key]
    if left[link.from] and right[link.to] or right[link.from] and left[link.to]
      or (link.from == "host" and (right[link.to] and not upstreams[a]
                                   or left[link.to] and not upstreams[b])) then
      change (link)
    end
  end
end

-- Starts a network partition: data is buffered and neither side is notified.
function cut (a, b)
  between (a, b, function (link) link.held = true refresh (link) end)
end

function heal (a, b)
  between (a, b, function (link) link.held = false refresh (link) end)
end

-- Existing connections stay open but deliver nothing; new ones work.
function silence (a, b)
  between (a, b, function (link) system.relay_set (link.relay, "silence") end)
end

-- Each refusal of an upstream comes once more on its connection.
function copy_refusals (name)
  each_link_to (name, function (link)
    system.relay_set (link.relay, "copy_refusals")
  end)
end

-- Existing connections buffer data until release; new ones work.
function stall (a, b)
  between (a, b, function (link) system.relay_set (link.relay, "stall") end)
end

function release (a, b)
  between (a, b, function (link) system.relay_set (link.relay, "release") end)
end

function drop (a, b)
  between (a, b, function (link) system.relay_set (link.relay, "drop") end)
end

function delay (a, b, ms)
  between (a, b, function (link)
    system.relay_set (link.relay, "delay", ms)
  end)
end

-- The site -----------------------------------------------------------------

local function host_settings (host, secret, first)
  local lines = {
    "[host]", "slot = " .. host.name, "zone = " .. host.zone,
    "cluster = proof", "secret_file = " .. secret,
    "role_keeper = " .. (host.keeper and "yes" or "no"),
    host.keeper and "data_folder = " .. folder .. "/data-" .. host.name or "",
    "[listen]", "entry = " .. host.entry, "peer = " .. host.peer,
    "control = " .. host.control, "[log]", "level = debug", "[peers]" }
  for _, name in ipairs (sorted (hosts)) do
    if name ~= host.name then
      lines[#lines + 1] = name .. " = " .. host.peers[name]
    end
  end
  lines[#lines + 1] = "[keepers]\nfirst = " .. first
  for _, line in ipairs (host.settings or {}) do lines[#lines + 1] = line end
  return table.concat (lines, "\n") .. "\n"
end

local function add_host (zone, region, index)
  local name = zone .. "-" .. string.char (96 + index)
  local host = { name = name, zone = zone, region = region,
                 entry = address (), peer = address (), control = address (),
                 number = 0, next_reading = 0,
                 log = folder .. "/log-" .. name }
  hosts[name] = host
  zones[zone][index] = host
end

-- Distributes COUNT keepers over the zones.
local function choose_keepers (count)
  local names, ordinal = {}, 1
  while #names < count do
    local before = #names
    for _, zone in ipairs (sorted (zones)) do
      local host = zones[zone][ordinal]
      if host and #names < count then
        host.keeper = true
        names[#names + 1] = host.name
      end
    end
    ordinal = ordinal + 1
    if #names == before then break end
  end
  return table.concat (names, ", ")
end

local function list (value, default)
  if type (value) == "table" then return table.concat (value, ", ") end
  return value or default
end

local function add_upstream (up)
  local entries = {}
  upstreams[up.name] = up
  up.slots = up.slots or DEFAULT_SLOTS
  up.listen = address ()
  up.log = folder .. "/log-" .. up.name
  up.address = relay ("host", up.name, up.listen)
  for i, host in ipairs (zones[up.zone]) do
    entries[i] = relay (up.name, host.name, host.entry)
  end
  up.arguments = { system.programs .. "/fake_engine", "--name", up.name,
    "--zone", up.zone, "--listen", up.listen, "--address", up.address,
    "--entry", table.concat (entries, ","), "--works", list (up.works),
    "--history", history_file }
  for _, option in ipairs { "slots", "token-ms", "prefill-us", "work-ms",
                            "lease-ms", "fault", "crash-on", "fences",
                            "resume", "linger-ms", "lag-ms", "cache",
                            "cache-ms", "cache-gap", "loadable", "load-ms",
                            "store-busy" } do
    local value = up[option:gsub ("-", "_")]
    if value then
      up.arguments[#up.arguments + 1] = "--" .. option
      up.arguments[#up.arguments + 1] = tostring (value)
    end
  end
  if up.service then up.arguments[#up.arguments + 1] = "--service" end
end

function regions ()
  local set = {}
  for _, host in pairs (hosts) do set[host.region] = true end
  return sorted (set)
end

function token_of (caller)
  return "token-of-" .. caller .. "-0123456789"
end

-- Returns the operators' file for the current site.
function operators_file (version)
  local all = table.concat (regions (), ", ")
  local lines = { "[file]\nname = site\nversion = " .. version,
                  "[cluster proof]" }
  local function add (...) lines[#lines + 1] = string.format (...) end
  for _, region in ipairs (regions ()) do add ("[region %s]", region) end
  for _, zone in ipairs (sorted (zones)) do
    add ("[zone %s]\nregion = %s", zone, zones[zone][1].region)
    for _, host in ipairs (zones[zone]) do
      add ("[slot %s]\nzone = %s\npeer = %s\nentry = %s\nkeeper = %s",
           host.name, zone, host.peer, host.entry, host.keeper and "yes"
           or "no")
    end
  end
  for _, kind in ipairs { "model", "service" } do
    for _, name in ipairs (sorted (site_of[kind .. "s"] or {})) do
      local work = site_of[kind .. "s"][name]
      add ("[%s %s]\nregions = %s\ndeadline_ms = %d", kind, name,
           list (work.regions, all), work.deadline or 30000)
      if kind == "model" then
        add ("decode_rate = %g", work.decode_rate or 200)
      end
      for _, line in ipairs (work) do add ("%s", line) end
    end
  end
  for _, name in ipairs (sorted (site_of.callers)) do
    local caller = site_of.callers[name]
    add ("[caller %s]\ntoken = %s\nhome = %s\nregions = %s\nrate = %g\n"
         .. "burst = %g\nweight = 1", name, token_of (name), caller.home,
         list (caller.regions, all), caller.rate or 100000,
         caller.burst or 100000)
  end
  return table.concat (lines, "\n") .. "\n"
end

-- site {zones = {{region, zone, hosts}, ...}, models, services, callers,
-- upstreams, keepers, settings}
function site (description)
  site_of = description
  site_of.callers = site_of.callers
    or { desk = { home = site_of.zones[1][1] } }
  for _, row in ipairs (site_of.zones) do
    zones[row[2]] = {}
    for index = 1, row[3] do add_host (row[2], row[1], index) end
  end
  local first = choose_keepers (site_of.keepers or 3)
  local secret = folder .. "/secret"
  write (secret, string.rep ("a secret of this run ", 3) .. "\n")
  system.make_private (secret)
  for _, a in ipairs (sorted (hosts)) do
    hosts[a].peers = {}
    hosts[a].caller = relay ("caller", a, hosts[a].entry)
    for _, b in ipairs (sorted (hosts)) do
      if a ~= b then hosts[a].peers[b] = relay (a, b, hosts[b].peer) end
    end
  end
  for _, name in ipairs (sorted (hosts)) do
    local host = hosts[name]
    local path = folder .. "/settings-" .. name
    host.settings = site_of.settings
    write (path, host_settings (host, secret, first))
    host.arguments = { system.programs .. "/marjoramd", "--settings", path }
  end
  for _, up in ipairs (site_of.upstreams or {}) do add_upstream (up) end
end

-- Runs marjoramctl against HOST.  Returns its exit status and output.
function ctl (host, ...)
  made = made + 1
  local output = folder .. "/ctl-" .. made
  local pid = system.spawn ({ system.programs .. "/marjoramctl", "--host",
    hosts[host].control, "--secret-file", folder .. "/secret", ... }, output)
  local status = wait_until (function () return system.ended (pid) end,
                             "marjoramctl " .. table.concat ({ ... }, " "))
  return status, read (output)
end

local applied = 0

-- Applies TEXT, by default the site's current file, at HOST.
function apply (host, text)
  applied = applied + 1
  local path = folder .. "/site-" .. applied .. ".ini"
  write (path, text or operators_file (applied))
  return ctl (host or sorted (hosts)[1], "apply", path)
end

-- Sends a GET request to HOST.  Returns the status and body.
function get (host, path)
  local call = system.call { address = hosts[host].entry, method = "GET",
                             path = path, timeout = 5000 }
  wait_until (function () return system.answer (call) ~= nil end, path)
  local _, status, body = system.answer (call)
  system.hang_up (call)
  return status, body
end

-- Returns the first metric of HOST whose name contains NAME.
function counter (host, name)
  local _, body = get (host, "/metrics")
  for line in body:gmatch ("[^\n]+") do
    if not line:match ("^#") and line:find (name, 1, true) then
      return tonumber (line:match ("(%S+)$"))
    end
  end
  error ("no counter " .. name, 2)
end

function ready (host)
  return get (host, "/readyz") == 200
end

-- Starts all hosts, applies the configuration, starts all upstreams and waits
-- until every host can route to them.
function open_site (description)
  site (description)
  for _, name in ipairs (sorted (hosts)) do start (name) end
  -- Retries must not use up version numbers that scenarios rely on.
  local first = operators_file (1)
  wait_until (function () return apply (nil, first) == 0 end,
              "the first apply")
  for _, name in ipairs (sorted (hosts)) do
    wait_until (function () return ready (name) end, name .. " to be ready")
  end
  for _, name in ipairs (sorted (upstreams)) do start (name) end
  wait_until (settled, "upstreams to be known")
  wait_until (reachable, "offers to spread")
end

local function has (set, region)
  if not set then return true end
  for word in list (set):gmatch ("[^, ]+") do
    if word == region then return true end
  end
  return false
end

-- Returns whether requests of CALLER for WORK, a model or service, may run in
-- REGION.
function allowed (caller, work, region)
  local described = (site_of.models or {})[work]
    or (site_of.services or {})[work]
  if not described then return true end
  return has (described.regions, region)
    and has (site_of.callers[caller].regions, region)
end

-- Returns the models and services that a running upstream may serve to CALLER.
local function runnable (caller)
  local works = {}
  for _, up in pairs (upstreams) do
    for work in list (up.works):gmatch ("[^, ]+") do
      if up.pid and allowed (caller, work, zones[up.zone][1].region) then
        works[work] = true
      end
    end
  end
  return sorted (works)
end

-- Returns whether every running host can route all runnable work.
function reachable ()
  for _, name in ipairs (sorted (hosts)) do
    for _, caller in ipairs (sorted (site_of.callers)) do
      for _, work in ipairs (hosts[name].pid and runnable (caller) or {}) do
        local _, output = ctl (name, "--json", "--caller", caller, "--work",
                               work, "explain")
        local value = system.json (output)
        if not value or value.verdict == "refuse" then return false end
      end
    end
  end
  return true
end

-- Returns whether every running host knows the running upstreams of its zone.
function settled ()
  for _, name in ipairs (sorted (hosts)) do
    local host, known = hosts[name], {}
    if host.pid and not host.frozen then
      local status, output = ctl (name, "--json", "upstreams")
      local value = status == 0 and system.json (output)
      if not value then return false end
      for _, up in ipairs (value.upstreams or value) do
        known[up.name] = not up.leaving
      end
      for _, up in pairs (upstreams) do
        if up.zone == host.zone and up.pid and not known[up.name] then
          return false
        end
      end
    end
  end
  return true
end

local function post_to_upstream (name, path, body)
  local call = system.call { address = upstreams[name].listen, timeout = 5000,
                             method = "POST", path = path, body = body }
  wait_until (function () return system.answer (call) ~= nil end, path)
  system.hang_up (call)
end

-- Injects a fault into the next COUNT runs of an upstream whose body contains
-- MATCH.
function fault (name, word, count, match)
  post_to_upstream (name, "/fake/fault", string.format (
    '{"fault":"%s","count":%d,"match":"%s"}', word, count or -1, match or ""))
end

-- Makes an upstream announce that it leaves while it keeps accepting requests.
function leave (name)
  post_to_upstream (name, "/fake/leave", "{}")
  upstreams[name].left = system.now ()
end

-- Requests -----------------------------------------------------------------

-- Returns a unique idempotency key with the key prefix of HOST.
function new_key (host)
  local _, body = get (host, "/v1/entries")
  made = made + 1
  return system.json (body).key_prefix .. "k" .. made .. "-" .. system.seed
end

local function transmit (attempt)
  local request = attempt.request
  local headers = { Authorization = "Bearer " .. token_of (request.caller),
                    ["Content-Type"] = "application/json",
                    ["Idempotency-Key"] = request.key,
                    ["Marjoram-Class"] = request.class }
  if request.idempotent == false then headers["Marjoram-Idempotent"] = "no" end
  if request.key and not attempt.again and request.first ~= false then
    headers["Marjoram-Resend"] = "no"
  end
  if request.deadline then
    headers["Marjoram-Deadline-Ms"] = tostring (request.deadline)
  end
  attempt.call = system.call { address = hosts[attempt.host].caller,
    method = request.method, path = request.path, headers = headers,
    body = request.body, timeout = request.timeout or 40000 }
  attempt.sent = system.now ()
  attempts[#attempts + 1] = attempt
  return attempt
end

-- send {to, model or service, stream, tokens, key, idempotent, class,
-- deadline, text, caller, first}: starts an attempt and returns it.  With
-- "first" false, Marjoram-Resend is not sent.
function send (request)
  made = made + 1
  request.caller = request.caller or sorted (site_of.callers)[1]
  request.text = request.text or "request " .. made .. " " .. system.seed
  request.method = "POST"
  if request.service then
    request.tokens = 4
    request.path = "/v1/services/" .. request.service .. "/do"
    request.body = request.body or '{"text":"' .. request.text .. '"}'
  else
    request.model = request.model or sorted (site_of.models)[1]
    request.tokens = request.tokens or 16
    request.path = "/v1/chat/completions"
    request.body = request.body or string.format (
      '{"model":"%s","max_tokens":%d,"stream":%s,"messages":[{"role":"user",'
      .. '"content":"%s"}]}', request.model, request.tokens,
      tostring (request.stream or false), request.text)
  end
  request.digest = system.digest (request.method, request.service and "/do"
                                  or request.path, request.body)
  request.regions = {} -- where it may run when sent
  for _, region in ipairs (regions ()) do
    request.regions[region] = allowed (request.caller, request.service
                                       or request.model, region)
  end
  if request.idempotent == false and not request.key then
    request.key = new_key (request.to)
  end
  return transmit { request = request, host = request.to }
end

-- Resends a request, by default to the same entry host.
function resend (attempt, host)
  return transmit { request = attempt.request, host = host or attempt.host,
                    again = true }
end

-- Closes the caller's connection.
function hang_up (attempt)
  system.hang_up (attempt.call)
  attempt.call = nil
  attempt.abandoned = true
end

-- Returns whether the response is complete, and records it in ATTEMPT.
function answered (attempt)
  if attempt.done or not attempt.call then return attempt.done end
  local whole, status, body = system.answer (attempt.call)
  if whole == nil then return false end
  local function header (name) return system.header (attempt.call, name) end
  attempt.done, attempt.whole, attempt.status = true, whole, status
  attempt.body, attempt.at = body, system.now ()
  attempt.outcome = whole and header ("Marjoram-Outcome") or "broken"
  attempt.reason = header ("Marjoram-Reason")
  attempt.id = header ("Marjoram-Request")
  attempt.upstream = header ("Marjoram-Upstream")
  attempt.zone = header ("Marjoram-Zone")
  attempt.replayed = header ("Marjoram-Replayed") == "yes"
  attempt.retry_after = header ("Retry-After")
  system.hang_up (attempt.call)
  attempt.call = nil
  return true
end

function wait_for (attempt, limit)
  wait_until (function () return answered (attempt) end,
              "the answer to " .. attempt.request.text, limit)
  return attempt
end

-- Calls MAKE every EVERY milliseconds until CONDITION holds or MS have passed.
-- Returns all attempts.
function keep_sending (every, make, ms, condition)
  local sent, last = {}, system.now () + ms
  while system.now () < last and not (condition and condition ()) do
    sent[#sent + 1] = make (#sent + 1)
    pause (every)
  end
  return sent
end

function all_answered (list, wanted)
  for _, attempt in ipairs (list) do expect (attempt, wanted or {}) end
end

-- Retries at the next host when a host refuses or is unreachable, as specified
-- in docs/CALLERS.md.  Returns the last attempt.
function persist (attempt, order, limit)
  for _, host in ipairs (order) do
    wait_for (attempt, limit)
    if attempt.outcome == "done" then return attempt end
    if attempt.outcome ~= "not-run" and attempt.request.idempotent == false
      and not attempt.request.key then return attempt end
    attempt = resend (attempt, host)
  end
  return wait_for (attempt, limit)
end

-- Resends while the key is in use, as specified in docs/CALLERS.md.  Returns
-- the last attempt.
function ask (attempt, host, limit)
  local last
  wait_until (function ()
    last = wait_for (resend (attempt, host))
    return last.reason ~= "claim-busy"
  end, "an outcome of " .. attempt.request.text, limit)
  return last
end

-- Returns whether an attempt was refused for lack of capacity.
local function refused_for_capacity (attempt)
  return answered (attempt) and attempt.outcome == "not-run"
    and (attempt.reason == "overload" or attempt.reason == "no-upstream")
end

-- Resends to the same host until the request is not refused for lack of
-- capacity.  Returns the last attempt.
function insist (attempt, limit)
  wait_until (function ()
    if refused_for_capacity (attempt) then
      pause (50)
      attempt = resend (attempt)
    end
    return answered (attempt)
  end, "room for " .. attempt.request.text, limit)
  return attempt
end

-- Waits until all requests are running, resending those refused for lack of
-- capacity.  Returns the last attempts.
function get_running (list, limit)
  local last = {}
  for i, attempt in ipairs (list) do last[i] = attempt end
  wait_until (function ()
    local all = true
    for i, attempt in ipairs (last) do
      if refused_for_capacity (attempt) then last[i] = resend (attempt) end
      all = all and runs (attempt) > 0
    end
    if not all then pause (50) end
    return all
  end, "all to run", limit)
  return last
end

function received (attempt)
  return attempt.call and system.received (attempt.call) or #attempt.body
end

-- Waits for the response and checks the fields in WANTED: outcome, reason,
-- zone, upstream, status, replayed.  A list as value names the allowed ones.
function expect (attempt, wanted, limit)
  wait_for (attempt, limit)
  for _, name in ipairs (sorted (wanted)) do
    local value, allowed = attempt[name], wanted[name]
    local good = value == allowed
    for _, one in ipairs (type (allowed) == "table" and allowed or {}) do
      good = good or value == one
    end
    if not good then
      error (string.format ("%s of '%s' at %s: %s, wanted %s (%s %s %s)", name,
        attempt.request.text, attempt.host, tostring (value),
        list (type (allowed) == "table" and allowed or tostring (allowed)),
        attempt.status, attempt.outcome, attempt.reason), 2)
    end
  end
  return attempt
end

function check (condition, ...)
  if not condition then error (string.format (...), 2) end
end

-- History ------------------------------------------------------------------

-- Returns all events that the fake upstreams have logged so far.
function events ()
  local file = io.open (history_file)
  if not file then return history end
  file:seek ("set", history_read)
  for line in file:lines ("L") do
    if line:sub (-1) ~= "\n" then break end
    history[#history + 1] = system.json (line)
    history_read = history_read + #line
  end
  file:close ()
  return history
end

-- Returns the number of events whose fields match WANTED.
function count (wanted)
  local total = 0
  for _, event in ipairs (events ()) do
    local good = true
    for name, value in pairs (wanted) do good = good and event[name] == value end
    if good then total = total + 1 end
  end
  return total
end

function runs (attempt)
  return count { event = "start", digest = attempt.request.digest }
end

local function check_answer (attempt)
  local request = attempt.request
  local known = { done = true, ["not-run"] = true, unknown = true,
                  broken = true }
  check (known[attempt.outcome], "'%s' at %s: status %s without an outcome",
         request.text, attempt.host, attempt.status)
  if attempt.outcome == "done" then
    -- Fake upstreams refuse with 503 and an empty body.
    local wanted = attempt.status == 503 and ""
      or system.right_answer (request.digest, request.tokens,
                              request.stream == true)
    check (attempt.body == wanted, "'%s' at %s: wrong response: status %s, "
           .. "request %s from %s, replayed %s, key %s, wanted digest %s: %s",
           request.text, attempt.host, attempt.status, attempt.id,
           attempt.upstream, attempt.replayed, request.key, request.digest,
           attempt.body)
  end
end

-- A request reported as not run must have no run under its ID.  A
-- non-idempotent key must have no run that started before this attempt was
-- sent either.  Later runs are legal, since concurrent attempts with the same
-- key may run.
local function check_not_run (attempt)
  for _, event in ipairs (events ()) do
    if event.event == "start" then
      check (event.request ~= attempt.id or not attempt.id,
             "'%s' at %s: told not-run (%s), but ran at %s",
             attempt.request.text, attempt.host, attempt.reason,
             event.upstream)
      check (attempt.request.idempotent ~= false
             or event.digest ~= attempt.request.digest
             or event.ms >= attempt.sent,
             "'%s' at %s: told not-run (%s), but its key had run at %s; "
             .. "request %s, resent %s, the run was %s's",
             attempt.request.text, attempt.host, attempt.reason,
             event.upstream, attempt.id, attempt.again, event.request)
    end
  end
end

local function check_runs (request)
  local starts = 0
  for _, event in ipairs (events ()) do
    if event.event == "start" and event.digest == request.digest then
      starts = starts + 1
      check (request.regions[zones[event.zone][1].region],
             "'%s' ran at %s of %s, outside its allowed regions", request.text,
             event.upstream, event.zone)
    end
  end
  check (request.idempotent ~= false or starts <= 1,
         "'%s' may run at most once, and ran %d times", request.text, starts)
end

-- Checks host logs for sanitizer reports, and that no host exited with an
-- error.
local function check_logs ()
  for _, name in ipairs (sorted (hosts)) do
    local text = read (hosts[name].log)
    local fault = text:match ("[^\n]*Sanitizer[^\n]*")
      or text:match ("[^\n]*runtime error[^\n]*")
    check (not fault, "%s: %s", name, fault)
    check (not has_exited (hosts[name]) or hosts[name].killed
           or (hosts[name].status or 0) == 0, "%s ended with status %s", name,
           hosts[name].status)
  end
end

-- Checks all attempts.  Called by ending.lua at the end of every scenario.
function check_history ()
  for _, attempt in ipairs (attempts) do
    if not attempt.abandoned then wait_for (attempt) end
    if attempt.done then
      check_answer (attempt)
      if attempt.outcome == "not-run" then check_not_run (attempt) end
    end
    check_runs (attempt.request)
  end
  check_logs ()
end
