-- An operator of evacuations, as the platform's pages describe it, and a count
-- of what starts at the upstreams of a zone.  Use after gateway.lua.

-- The bounds of the deployments.
EVACUATE_MS, SKEW_MS, RECOVER_MS, ACK_MS = 5000, 8000, 12000, 6000
local CALL_MS, CONTROL_PORT, OPERATOR_PORT = 1000, 8146, 8246
local FOLLOWED_MAX = 2

-- Operators reach each keeper through a relay for fault injection.
function add_operator_relay (keeper)
  keeper.operator_relay = assert (system.relay (
    keeper.ip .. ":" .. OPERATOR_PORT, keeper.ip .. ":" .. CONTROL_PORT))
end

-- Sends one copy of an order and returns the call.
function send_order (keeper, zone, word, path)
  return system.call {
    address = keeper.ip .. ":" .. OPERATOR_PORT, method = "POST",
    path = path or "/-/evacuations/" .. zone .. "/" .. word, headers = {},
    timeout = 60000 }
end

local function keeper_of (address)
  for _, keeper in ipairs (keepers) do
    if address == keeper.ip .. ":" .. CONTROL_PORT then return keeper end
  end
end

-- Where CALL, which was answered, redirects to; nil if it does not.
local function redirection (call)
  local _, status = system.answer (call)
  if status ~= 307 then return nil end
  local address, path = (system.header (call, "Location") or ""):match (
    "^http://([^/]+)(/.*)$")
  local keeper = keeper_of (address)
  check (keeper and path, "307 without the address of a keeper")
  return keeper, path
end

-- One call of an order, with the redirections that it follows; KEPT leaves its
-- connection open when it is given up.  Returns whether it was acknowledged.
local function call_once (keeper, zone, word, kept, wait)
  local last, path = system.now () + CALL_MS, nil
  for _ = 0, FOLLOWED_MAX do
    local call = send_order (keeper, zone, word, path)
    while system.answer (call) == nil and system.now () < last do wait () end
    local whole, status = system.answer (call)
    if whole == nil then
      if not kept then system.hang_up (call) end
      return false
    end
    check (status ~= 400 and status ~= 404 and status ~= 409,
           "%s of %s was refused: %s", word, zone, status)
    local next_keeper, next_path = redirection (call)
    system.hang_up (call)
    if whole and status >= 200 and status < 300 then return true end
    if not next_keeper then return false end
    keeper, path = next_keeper, next_path
  end
  return false
end

-- Sends an order to keepers of PICK () until it is acknowledged and returns the
-- time that this took; nil if LIMIT_MS passed before.
function order (zone, word, options)
  options = options or {}
  local wait = options.wait or function () pause (5) end
  local began = system.now ()
  local backoff = 20
  while system.now () < began + (options.limit or 30000) do
    local keeper = options.pick ()
    if call_once (keeper, zone, word, options.kept, wait) then
      return system.now () - began
    end
    local until_ms = system.now () + backoff
    while system.now () < until_ms do wait () end
    backoff = math.min (2 * backoff, 500)
  end
end

-- Requests in the background at HOST, whose callers stop when it refuses a
-- connection.
function start_traffic (host)
  if host.traffic then system.steady_end (host.traffic) end
  host.traffic = system.steady {
    address = host.ip .. ":8144", callers = 4, pause = 60,
    start = "GET /get/x HTTP/1.1\r\nHost: a.example\r\n"
      .. "Marjoramproxy-Deadline-Ms: 2000\r\n",
    number = "Marjoramproxy-Attempt-Id" }
end

-- Starts so far at the upstreams of ZONE.
function starts_in (zone)
  local count = 0
  for id, replica in pairs (replicas) do
    if replica.zone == zone then count = count + run_count (id) end
  end
  return count
end
