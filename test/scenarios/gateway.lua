-- Scenario functions for the roles entry and keeper with fake platform
-- upstreams: two regions, each with keepers and entry hosts.

local folder = system.folder
local octets = system.address:match ("^127%.%d+%.(%d+%.%d+)$")
local programs = {}
local LIMIT_MS = 20000
replicas, entries, keepers = {}, {}, {}
attempt_number = 0

local function ip (index)
  return "127." .. (100 + index) .. "." .. octets
end

local function write (path, text)
  local file = assert (io.open (path, "w"))
  file:write (text)
  file:close ()
end

function read_file (path)
  local file = io.open (path)
  local text = file and file:read ("a") or ""
  if file then file:close () end
  return text
end

-- SLOW_ENTRY is the index of an entry host whose link is limited to LINK_RATE
-- bytes per second, or nil.  Hosts connect to peers on their own link port:
-- the slow host on 7660, which relays serve for the other hosts; the others on
-- 7670, which a relay serves for the slow host.
local SLOW_PORT, PORT = 7660, SLOW_ENTRY and 7670 or 7660

local function is_slow (host)
  return host.role == "entry" and host.ip == ip (SLOW_ENTRY or 0)
end

local function add_slow_relay (host)
  local slow = is_slow (host)
  local own, others = PORT, SLOW_PORT
  if slow then own, others = SLOW_PORT, PORT end
  host.relay = assert (system.relay (host.ip .. ":" .. others,
                                     host.ip .. ":" .. own))
  system.relay_set (host.relay, slow and "rate_in" or "rate", LINK_RATE)
end

-- With LINK_RELAYS each host has a link port of its own, at which relays stand
-- in for all other hosts, since hosts dial others on their own link port.
-- link_relay (FROM, TO) is the relay of the links that FROM dials to TO.
local OWN_PORT_BASE = 7600
local link_relays = {}

local function own_port (host)
  return OWN_PORT_BASE + host.index
end

-- With LINK_DELAY_MS these links take so long one way, and with LINK_LOSS they
-- lose so many packets per 1,000.
local function add_link_relay (from, to)
  local relay = assert (system.relay (to.ip .. ":" .. own_port (from),
                                      to.ip .. ":" .. own_port (to)))
  link_relays[from.name .. " " .. to.name] = relay
  if LINK_DELAY_MS then system.relay_set (relay, "delay", LINK_DELAY_MS) end
  if LINK_LOSS then system.relay_set (relay, "loss", LINK_LOSS) end
end

function link_relay (from, to)
  return link_relays[from.name .. " " .. to.name]
end

local function settings (host)
  local seeds = {}
  for i, index in ipairs (host.seeds or { 1, 2, 3 }) do
    seeds[i] = ip (index) .. ":8146"
  end
  local text = "[gateway]\nrole = " .. host.role .. "\nname = " .. host.name
    .. "\nip = " .. host.ip .. "\nzone = " .. host.zone .. "\nregion = "
    .. host.region .. "\n"
  if host.role == "keeper" then
    text = text .. "data_folder = " .. folder .. "/data-" .. host.name
      .. "\nfirst_start = " .. (host.fresh and "yes" or "no")
      .. "\n[listen]\ncontrol = " .. host.ip .. ":8146\nlookup = " .. host.ip
      .. ":8143\n"
  else
    text = text .. "[listen]\nentry = " .. host.ip .. ":8144\nready = "
      .. host.ip .. ":8140\n"
  end
  local port = is_slow (host) and SLOW_PORT or PORT
  if LINK_RELAYS then port = own_port (host) end
  local limits = ""
  if REVOCATION_MS then
    limits = "revocation_ms = " .. REVOCATION_MS .. "\n"
  end
  if QUOTA_ALLOWANCE then
    limits = limits .. "quota_allowance = " .. QUOTA_ALLOWANCE .. "\n"
  end
  if MEMORY_MB and host.role == "entry" then
    limits = limits .. "memory_mb = " .. MEMORY_MB .. "\nanswer_bytes = "
      .. ANSWER_BYTES .. "\n"
  end
  if LOAD and host.role == "entry" then
    limits = limits .. "[load]\n" .. LOAD .. "\n"
  end
  return text .. "link = " .. host.ip .. ":" .. port .. "\nmetrics = "
    .. host.ip .. ":7661\n[limits]\ndrain_limit_ms = "
    .. (DRAIN_LIMIT_MS or 8000) .. "\n" .. limits .. "[seeds]\nkeepers = "
    .. table.concat (seeds, ", ") .. "\n[zones]\nza = ra\nzb = rb\n"
end

-- Writes TEXT, by default the generated settings, to the settings file of
-- HOST.  LOAD, if set, has the lines of the section [load] of entry hosts.
function write_settings (host, text)
  host.path = folder .. "/" .. host.name .. ".ini"
  host.log = folder .. "/" .. host.name .. ".log"
  write (host.path, text or settings (host))
end

-- A sanitized program that keeps freed memory would not show what it uses.
local KEEP_NOTHING = "ASAN_OPTIONS=quarantine_size_mb=1:malloc_context_size=0"

local function preloaded (library, setting, command)
  return { "/usr/bin/env", "LD_PRELOAD=" .. system.programs .. "/" .. library,
           setting, "ASAN_OPTIONS=verify_asan_link_order=0",
           table.unpack (command) }
end

function start_host (host)
  write_settings (host)
  local command = { system.programs .. "/marjoramd", "--settings", host.path }
  -- With SYNC_MS, each sync of a keeper's disk takes so much longer.
  if SYNC_MS and host.role == "keeper" then
    command = preloaded ("libslow_sync.so", "SLOW_SYNC_MS=" .. SYNC_MS,
                         command)
  end
  -- NO_PATH, if set, has the addresses that a host cannot connect to, by the
  -- host's index.
  if NO_PATH and NO_PATH[host.index] then
    command = preloaded ("libno_path.so", "NO_PATH_TO="
                           .. table.concat (NO_PATH[host.index], ","), command)
  end
  if MEMORY_MB then
    command = { "/usr/bin/env", KEEP_NOTHING, table.unpack (command) }
  end
  host.pid = system.spawn (command, host.log)
end

-- Starts HOST with file size limited to BLOCKS x 512 bytes, to simulate a full
-- disk.
function start_on_small_disk (host, blocks)
  write_settings (host)
  host.pid = system.spawn (
    { "/bin/sh", "-c", string.format (
        "trap '' XFSZ; ulimit -f %d; exec %s/marjoramd --settings %s", blocks,
        system.programs, host.path) }, "/dev/null")
end

-- SEEDS has the indices of the keepers that the host starts from.
function add_host (role, index, zone, seeds)
  local host = { role = role, name = role .. index, ip = ip (index),
                 index = index, seeds = seeds,
                 zone = zone, region = "r" .. zone:sub (2),
                 fresh = role == "keeper" and index <= 3 }
  programs[#programs + 1] = host
  local list = role == "keeper" and keepers or entries
  list[#list + 1] = host
  if SLOW_ENTRY then add_slow_relay (host) end
  for _, other in ipairs (LINK_RELAYS and programs or {}) do
    if other ~= host then
      add_link_relay (host, other)
      add_link_relay (other, host)
    end
  end
  start_host (host)
  return host
end

-- The replica reports to the keepers of REPLICA.keepers, by default to all.
function start_replica (replica)
  local list = {}
  for i, keeper in ipairs (replica.keepers or keepers) do
    list[i] = keeper.ip .. ":8146"
  end
  replica.pid = system.spawn (
    { system.programs .. "/fake_replica", "--address", replica.address,
      "--listen", replica.listen, "--id", replica.id, "--service",
      replica.service, "--zone", replica.zone, "--version",
      replica.version, "--keepers",
      table.concat (list, ","), "--log", replica.runs },
    folder .. "/" .. replica.id .. ".log")
end

-- VERSIONS, if set, has the software versions of replicas, "v1" by default, and
-- REPORT_TO the keepers that they report to.
-- With REPLICA_RELAYS, the replica is reached through a relay for fault
-- injection, attached to the slow link, if any, unless APART.
function add_replica (id, service, zone, index, apart)
  local replica = { id = id, service = service, zone = zone,
                    version = VERSIONS and VERSIONS[id] or "v1",
                    address = ip (index) .. ":" .. (ANNOUNCED_PORT or 8080),
                    listen = ip (index) .. ":8080",
                    runs = folder .. "/" .. id .. ".runs",
                    keepers = REPORT_TO }
  if REPLICA_RELAYS then
    replica.listen = ip (index) .. ":8081"
    replica.relay = assert (system.relay (replica.address, replica.listen))
    if SLOW_ENTRY and not apart then
      system.relay_set (replica.relay, "rate", LINK_RATE)
    end
  end
  start_replica (replica)
  replicas[id] = replica
  return replica
end

local function finished (call)
  local whole, status, body
  wait_until (function ()
    whole, status, body = system.answer (call)
    return whole ~= nil
  end, "an answer", LIMIT_MS)
  return whole, status, body
end

function ask (address, method, path, body, headers)
  local call = system.call { address = address, method = method, path = path,
                             body = body, headers = headers or {},
                             timeout = 10000 }
  return finished (call)
end

-- Starts a caller's request and returns the call.
function begin (host, path, headers)
  attempt_number = attempt_number + 1
  local all = { ["Host"] = "a.example",
                ["Marjoramproxy-Attempt-Id"] = "id-" .. attempt_number,
                ["Marjoramproxy-Deadline-Ms"] = "4000" }
  for name, value in pairs (headers or {}) do all[name] = value end
  return system.call { address = host.ip .. ":8144", method = "POST",
                       path = path, body = "hello", headers = all,
                       timeout = 10000 }
end

function request (host, path, headers)
  return finished (begin (host, path, headers))
end

end_of = finished

-- The part of a route that names its service, or its WEIGHTS by service.
local function targets (route)
  if not route.weights then
    return string.format ('"service":"%s"', route.service or "app")
  end
  local list = {}
  for _, service in ipairs (sorted (route.weights)) do
    list[#list + 1] = string.format ('{"service":"%s","weight":%d}', service,
                                     route.weights[service])
  end
  return '"weighted_clusters":[' .. table.concat (list, ",") .. "]"
end

-- CUSTOMERS, if set, is the JSON text of all customers, and ENGINE that of the
-- engines of the service "app".
function config (version, routes)
  local list = {}
  for i, route in ipairs (routes) do
    list[i] = string.format (
      '{"name":"r%d","host":"a.example","path_prefix":"%s","kind":"%s",'
      .. '"timeout_ms":%d,"target_latency_ms":500,"max_attempts":2,'
      .. '"resumable":%s,%s,"public":%s,"home_regions":[%s]}', i,
      route[1], route[2], route.timeout or 4000,
      tostring (route.resumable or false), targets (route),
      tostring (route.public or false),
      route.home and '"' .. route.home .. '"' or "")
  end
  return string.format (
    '{"version":%d,"routes":[%s],"services":[{"name":"app",'
    .. '"health_path":"/health"%s},{"name":"other","health_path":"/health"}],'
    .. '"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,'
    .. '"header_timeout_ms":3000,"idle_timeout_ms":15000}%s}', version,
    table.concat (list, ","),
    ENGINE and ',"engine":' .. ENGINE or "",
    CUSTOMERS and ',"tenants":[' .. CUSTOMERS .. "]" or "")
end

function set_config (keeper, text)
  return ask (keeper.ip .. ":8146", "POST", "/-/config/replace", text)
end

-- The address of an upstream that another program serves.
function upstream_address (index)
  return ip (index) .. ":8080"
end

-- Starts tool_promises with callers of ENTRIES and UPSTREAMS ("ZONE=IP:PORT"),
-- and OPTIONS for its command line by their names.
function start_judge (hosts, upstreams, options)
  local entry_list, keeper_list = {}, {}
  for i, host in ipairs (hosts) do entry_list[i] = host.ip .. ":8144" end
  for i, host in ipairs (keepers) do keeper_list[i] = host.ip .. ":8146" end
  local command = { system.programs .. "/tool_promises", "--entries",
                    table.concat (entry_list, ","), "--keepers",
                    table.concat (keeper_list, ","), "--upstreams",
                    table.concat (upstreams, ",") }
  for _, name in ipairs (sorted (options)) do
    command[#command + 1] = "--" .. name
    command[#command + 1] = tostring (options[name])
  end
  local judge = { log = folder .. "/judge.log" }
  judge.pid = system.spawn (command, judge.log)
  return judge
end

-- Waits for the end of JUDGE, whose requests last for SECONDS, and returns its
-- counts by name and the broken rules.
function judged (judge, seconds)
  wait_until (function () return system.ended (judge.pid) end, "the judge",
              seconds * 1000 + LIMIT_MS)
  local text, counts = read_file (judge.log), {}
  for name, value in (text:match ("asked=[^\n]*") or ""):gmatch (
    "(%S+)=(%d+)") do
    counts[name] = tonumber (value)
  end
  check (counts.asked, "the judge failed: %s", text)
  return counts, text:match ("BROKEN [^\n]*")
end

usual_routes = {
  { "/get/", "idempotent" }, { "/flip/", "non_idempotent" },
  { "/stream/", "streaming", resumable = true },
  { "/once/stream/", "streaming" }, { "/home/", "idempotent", home = "rb" },
}

function is_ready (host)
  local _, status = ask (host.ip .. ":8140", "GET", "/-/ready")
  return status == 200
end

function metric (host, name)
  local _, _, body = ask (host.ip .. ":7661", "GET", "/metrics")
  return tonumber (body:match ("\nmarjoram_" .. name .. "_total (%d+)")) or 0
end

function run_count (id)
  local count = 0
  for line in read_file (replicas[id].runs):gmatch ("[^\n]+") do
    if line:match ("^run ") then count = count + 1 end
  end
  return count
end

-- Waits for the end of HOST.  Returns how long that took and whether this
-- program, and with it all callers, stood still meanwhile for so long that a
-- host that stops may close their connections as idle, just as they send.
STANDSTILL_MS = 150
function wait_for_end (host, limit)
  local from, last, longest = system.now (), system.now (), 0
  wait_until (function ()
    longest = math.max (longest, system.now () - last)
    last = system.now ()
    host.status = host.status or system.ended (host.pid)
    return host.status
  end, "its end", limit)
  if longest > STANDSTILL_MS then log ("callers stood still: %d ms", longest) end
  return system.now () - from, longest > STANDSTILL_MS
end

-- The versions of the replicas that ran attempt ID, in order of the replicas.
function versions_of (id)
  local found = {}
  for _, name in ipairs (sorted (replicas)) do
    for version, run in read_file (replicas[name].runs):gmatch (
      "(v[%d.]+) replica=%S+ id=(%S+)") do
      if run == id then found[#found + 1] = version end
    end
  end
  return found
end

-- The services of the replicas that ran attempt ID, in order of the replicas.
function services_of (id)
  local found = {}
  for _, name in ipairs (sorted (replicas)) do
    for run in read_file (replicas[name].runs):gmatch (
      "v[%d.]+ replica=%S+ id=(%S+)") do
      if run == id then found[#found + 1] = replicas[name].service end
    end
  end
  return found
end

-- Starts three keepers, two entry hosts in za, one in zb and a replica of
-- "app" in each zone, and waits until all hosts serve usual_routes.
function open_gateway ()
  add_host ("keeper", 1, "za")
  add_host ("keeper", 2, "zb")
  add_host ("keeper", 3, "zb")
  add_host ("entry", 4, "za")
  add_host ("entry", 5, "za")
  add_host ("entry", 6, "zb")
  wait_until (function ()
    local _, status = set_config (keepers[1], config (3, usual_routes))
    return status == 200
  end, "the first configuration", LIMIT_MS)
  add_replica ("a1", "app", "za", 11)
  add_replica ("b1", "app", "zb", 12)
  for _, host in ipairs (entries) do
    wait_until (function () return is_ready (host) end, "a ready host")
    for _, path in ipairs { "/get/warm", "/home/warm" } do
      wait_until (function ()
        local _, status = request (host, path)
        return status == 200
      end, "a served request")
    end
  end
end
