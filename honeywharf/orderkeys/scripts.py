"""The rules for a shared key as scripts for Redis 7, each one an atomic step.

All entries of a site are stored under one prefix, `KEYS[1]`, on one primary (not in a cluster, because the
scripts construct further key names). Times are ms of Redis's own clock, so that proxies' clocks need not
agree.

    {p}:k:{name}  an entry: s state (R running, D done, U uncertain), h holder, p payload, t tenant, x when
                  the lease or entry expires, k how long it is kept, z c m the place (zone, cell, time), u 1
                  if the place is that of an ended request (L: whose lease expired), d digest of a long
                  answer, b counted bytes
    {p}:a:{name}  the answer of a done key: its media type, a newline, its body
    {p}:w:{name}  the proxies that wait for a running key
    {p}:x         all names, sorted by x; each claim removes a few expired ones
    {p}:n         number of running and uncertain keys by tenant
    {p}:t         number of done keys by tenant; {p}:d:{tenant} lists them, the oldest first
    {p}:meta      stored bytes; birth: since when no data has been lost; run: Redis's run id at that time
"""

from __future__ import annotations

_COMMON = """
local P = KEYS[1]
local clock = redis.call('TIME')
local now = clock[1] * 1000 + math.floor(clock[2] / 1000)
local function unlist(name, s, t)
  if s == 'D' then
    redis.call('ZREM', P .. ':d:' .. t, name)
    if tonumber(redis.call('ZINCRBY', P .. ':t', -1, t)) <= 0 then redis.call('ZREM', P .. ':t', t) end
  elseif redis.call('HINCRBY', P .. ':n', t, -1) <= 0 then
    redis.call('HDEL', P .. ':n', t)
  end
end
local function list(name, s, t)
  if s == 'D' then
    redis.call('ZADD', P .. ':d:' .. t, now, name)
    redis.call('ZINCRBY', P .. ':t', 1, t)
  else
    redis.call('HINCRBY', P .. ':n', t, 1)
  end
end
local function remove(name, s, t, b)
  unlist(name, s, t)
  redis.call('ZREM', P .. ':x', name)
  redis.call('DEL', P .. ':k:' .. name, P .. ':a:' .. name)
  redis.call('HINCRBY', P .. ':meta', 'bytes', -b)
end
-- The lease of a running key is over: its holder may have sent it where the note says, or nobody knows where.
local function lapse(name, x, k)
  redis.call('HSET', P .. ':k:' .. name, 's', 'U', 'u', 'L', 'x', x + k)
  redis.call('ZADD', P .. ':x', x + k, name)
end
local function tell(name)
  for _, who in ipairs(redis.call('SMEMBERS', P .. ':w:' .. name)) do
    redis.call('PUBLISH', P .. ':p:' .. who, name)
  end
  redis.call('DEL', P .. ':w:' .. name)
end
"""

# Opens the store. Arguments: `wait` if an empty store must not grant claims for a while, `durable` if a
# restart loses no data. Reply: the time, and Redis's eviction policy.
OPEN = (
    """#!lua flags=allow-oom
"""
    + _COMMON
    + """
local run = string.match(redis.call('INFO', 'server'), 'run_id:(%w+)')
local known = redis.call('HGET', P .. ':meta', 'run')
if ARGV[1] == 'wait' and (not known or (known ~= run and ARGV[2] ~= 'durable')) then
  redis.call('HSET', P .. ':meta', 'birth', now)
end
redis.call('HSET', P .. ':meta', 'run', run)
local memory = redis.call('INFO', 'memory')
if string.match(memory, 'maxmemory:0%s') then return {'open', now, 'noeviction'} end
return {'open', now, string.match(memory, 'maxmemory_policy:(%S+)')}
"""
)

# Claims a key. Arguments: name, tenant, payload, holder, lease ms, keep ms, the wait of a new store in ms,
# the proxy, the limit on entries, the limit on bytes, bytes of an entry, the latest time for the claim, the
# limit on proxies that wait for one key. Reply: the verdict, the time, and the verdict's data.
CLAIM = (
    """#!lua
"""
    + _COMMON
    + """
local name, t, payload, holder = ARGV[1], ARGV[2], ARGV[3], ARGV[4]
local lease, keep = tonumber(ARGV[5]), tonumber(ARGV[6])
if now > tonumber(ARGV[12]) then return {'late', now} end
local birth = redis.call('HGET', P .. ':meta', 'birth')
if not birth then -- all was lost while this connection stood
  redis.call('HSET', P .. ':meta', 'birth', now)
  birth = now
end
if now < birth + tonumber(ARGV[7]) then
  return {'young', now, math.ceil(birth + ARGV[7] - now)}
end
for _, old in ipairs(redis.call('ZRANGEBYSCORE', P .. ':x', '-inf', now, 'LIMIT', 0, 4)) do
  local o = redis.call('HMGET', P .. ':k:' .. old, 's', 't', 'b', 'x', 'k')
  if o[1] == 'R' then lapse(old, o[4], o[5]) else remove(old, o[1], o[2], o[3]) end
end
local key = P .. ':k:' .. name
local e = redis.call('HMGET', key, 's', 'p', 'x', 't', 'b', 'k', 'z', 'c', 'm', 'd')
if e[1] == 'R' and tonumber(e[3]) <= now then
  lapse(name, e[3], e[6])
  e[1], e[3] = 'U', e[3] + e[6]
end
if e[1] and e[1] ~= 'R' and tonumber(e[3]) <= now then
  remove(name, e[1], e[4], e[5])
  e[1] = false
end
if not e[1] then
  local size = ARGV[11] + #t
  if tonumber(redis.call('HGET', P .. ':n', t) or 0) >= math.max(1, math.floor(ARGV[9] / 2)) then
    return {'full', now}
  end
  while redis.call('ZCARD', P .. ':x') >= tonumber(ARGV[9])
      or (redis.call('HGET', P .. ':meta', 'bytes') or 0) + size > tonumber(ARGV[10]) do
    local most = redis.call('ZREVRANGE', P .. ':t', 0, 0)[1]
    local old = most and redis.call('ZRANGE', P .. ':d:' .. most, 0, 0)[1]
    if not old then return {'full', now} end
    remove(old, 'D', most, redis.call('HGET', P .. ':k:' .. old, 'b'))
  end
  redis.call('HSET', key, 's', 'R', 'h', holder, 'p', payload, 't', t, 'x', now + lease, 'k', keep, 'b', size)
  redis.call('ZADD', P .. ':x', now + lease, name)
  redis.call('HINCRBY', P .. ':meta', 'bytes', size)
  list(name, 'R', t)
  return {'run', now}
end
if e[2] ~= payload then return {'payload', now} end
if e[1] == 'R' then
  if redis.call('SCARD', P .. ':w:' .. name) >= tonumber(ARGV[13]) then return {'busy', now} end
  redis.call('SADD', P .. ':w:' .. name, ARGV[8])
  redis.call('PEXPIRE', P .. ':w:' .. name, math.ceil(e[3] - now) + 1000)
  return {'join', now, math.ceil(e[3] - now)}
end
if e[1] == 'D' and not e[10] then return {'answer', now, redis.call('GET', P .. ':a:' .. name)} end
unlist(name, e[1], t)
list(name, 'R', t)
redis.call('HSET', key, 's', 'R', 'u', '1', 'h', holder, 'x', now + lease, 'k', keep)
redis.call('ZADD', P .. ':x', now + lease, name)
if not e[9] then return {'run', now, e[10] or ''} end
return {'run', now, e[10] or '', e[7], e[8], math.ceil(now - e[9]) + 1}
"""
)

# Notes where an attempt is about to be sent. Arguments: name, holder, zone, cell, earliest time. Reply: 1 if
# the holder still has the key.
NOTE = (
    """#!lua flags=allow-oom
"""
    + _COMMON
    + """
local key = P .. ':k:' .. ARGV[1]
local e = redis.call('HMGET', key, 's', 'h', 'u')
if e[1] ~= 'R' or e[2] ~= ARGV[2] then return {0, now} end
if not e[3] then redis.call('HSET', key, 'z', ARGV[3], 'c', ARGV[4], 'm', ARGV[5]) end
return {1, now}
"""
)

# Ends a request. Arguments: name, holder, 'answer' or 'digest' or 'none', the answer or its digest, zone (''
# if nothing can have run), cell, time, keep ms, tenant, payload, bytes of an entry, the limit on entries.
# Reply: 1 if the holder still had the key, or if nobody has it any more and the end is stored again.
END = (
    """#!lua flags=allow-oom
"""
    + _COMMON
    + """
local name, how, keep = ARGV[1], ARGV[3], tonumber(ARGV[8])
local key = P .. ':k:' .. name
local e = redis.call('HMGET', key, 's', 'h', 't', 'b', 'u', 'd', 'k')
if e[7] then keep = math.max(keep, e[7]) end -- a claim given back knows no time of its own
if e[5] == 'L' then e[5] = false end -- its holder is late, and knows better than the note
if e[1] == 'D' and e[2] == ARGV[2] then return {1, now} end -- told twice: the first reply was cut off
if e[1] and e[2] ~= ARGV[2] then return {0, now} end
if not e[1] then
  if how == 'none' and ARGV[5] == '' then return {1, now} end
  if redis.call('ZCARD', P .. ':x') >= tonumber(ARGV[12]) then return {0, now} end
  e = {'R', ARGV[2], ARGV[9], ARGV[11] + #ARGV[9]}
  redis.call('HSET', key, 'h', ARGV[2], 'p', ARGV[10], 't', ARGV[9])
  redis.call('HINCRBY', P .. ':meta', 'bytes', e[4])
  list(name, 'R', ARGV[9])
end
local t = e[3]
if how == 'none' and ARGV[5] == '' and not e[5] then
  remove(name, e[1], t, e[4])
  tell(name)
  return {1, now}
end
unlist(name, e[1], t)
local s, b = 'U', tonumber(e[4])
if how == 'answer' then
  s, b = 'D', b + #ARGV[4]
  redis.call('SET', P .. ':a:' .. name, ARGV[4])
  redis.call('HINCRBY', P .. ':meta', 'bytes', #ARGV[4])
elseif how == 'digest' then
  s = 'D'
  redis.call('HSET', key, 'd', ARGV[4])
elseif e[6] then
  s = 'D'
end
if not e[5] and ARGV[5] ~= '' then redis.call('HSET', key, 'z', ARGV[5], 'c', ARGV[6], 'm', ARGV[7]) end
redis.call('HSET', key, 's', s, 'u', '1', 'x', now + keep, 'k', keep, 'b', b)
redis.call('ZADD', P .. ':x', now + keep, name)
list(name, s, t)
tell(name)
return {1, now}
"""
)

# Shows a key to an operator, or counts of all keys for an empty name. Reply: 'none'; or the state, its
# remaining time, tenant, zone, cell, bytes and whether there is an answer; or counts and tenants.
SHOW = """#!lua flags=no-writes
local P = KEYS[1]
local clock = redis.call('TIME')
local now = clock[1] * 1000 + math.floor(clock[2] / 1000)
if ARGV[1] == '' then
  local bytes = redis.call('HGET', P .. ':meta', 'bytes') or 0
  local done = redis.call('ZREVRANGE', P .. ':t', 0, 19, 'WITHSCORES')
  return {'all', now, redis.call('ZCARD', P .. ':x'), bytes, redis.call('HGETALL', P .. ':n'), done}
end
local e = redis.call('HMGET', P .. ':k:' .. ARGV[1], 's', 'x', 't', 'z', 'c', 'b')
if not e[1] or (e[1] ~= 'R' and tonumber(e[2]) <= now) then return {'none', now} end
return {'key', now, e[1], math.ceil(e[2] - now), e[3] or '', e[4] or '', e[5] or '', e[6] or 0,
  redis.call('GET', P .. ':a:' .. ARGV[1]) and 1 or 0}
"""

# Removes a settled key for an operator. Reply: 1, or 0 if the key is unknown or running.
FORGET = (
    """#!lua flags=allow-oom
"""
    + _COMMON
    + """
local e = redis.call('HMGET', P .. ':k:' .. ARGV[1], 's', 't', 'b')
if not e[1] or e[1] == 'R' then return {0, now} end
remove(ARGV[1], e[1], e[2], e[3])
return {1, now}
"""
)
