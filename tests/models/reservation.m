-- SPDX-License-Identifier: MIT
-- Memory reservations of one backend server (src/decisions/reservation.*):
-- two controllers that take turns in holding the lease and may pause between
-- recording an order and sending it, an engine that may restart, orders that
-- are late or lost, answers that are lost. Loads only; two artifacts, each of
-- one unit; the engine has room for two units.
--
-- check.sh sets the constants below; each guard set to false must give a
-- counter-example.

const
  ORDERS: 3;          -- orders that are ever recorded
  CAPACITY: 2;
  FENCING: true;      -- the engine refuses lower fencing numbers than taken
  DOUBLED: true;      -- a load of what is loaded takes memory again
  GUARD_RECORD_FIRST: true;  -- an order is recorded before it is sent
  GUARD_LEASE: true;         -- a write compares the lease's term
  GUARD_UNSETTLED: true;     -- an order without an answer keeps its room
  GUARD_SENDER: true;        -- a new run ends only orders that are finished
  GUARD_SEEN_AFTER: true;    -- ... and seen in an earlier run since
  GUARD_REPORT: true;        -- a later order's answer settles by a report only

type
  controller: 0..1;
  id: 1..ORDERS;
  artifact: 0..1;
  run_number: 0..2;
  phase: enum { unused, recorded, sent, delivered, gone };

var
  -- the record in the key-value service
  present: array [artifact] of 0..3;
  open_order: array [id] of boolean;      -- unsettled
  finished: array [id] of boolean;
  seen_in: array [id] of 0..3;            -- 0: not yet, else run + 1
  known_run: run_number;
  revision_term: 0..2;                    -- the term of the lease in force

  -- each controller
  term: array [controller] of 0..2;
  -- what it last read: an old holder has an old copy
  stale: array [controller] of boolean;

  -- orders
  state: array [id] of phase;
  what: array [id] of artifact;
  who: array [id] of controller;
  to_run: array [id] of run_number;
  done: array [id] of boolean;

  -- the engine
  engine_run: run_number;
  loaded: array [artifact] of 0..3;
  highest: 0..ORDERS;

function reserved(): 0..20;
  var sum: 0..20;
  var copies: 0..10;
begin
  sum := 0;
  for a: artifact do
    copies := present[a];
    for i: id do
      if open_order[i] & what[i] = a then
        copies := copies + 1;
      end;
    end;
    if !DOUBLED & copies > 1 then copies := 1; end;
    sum := sum + copies;
  end;
  return sum;
end;

function reserved_with(a: artifact): 0..20;
  var sum: 0..20;
  var copies: 0..10;
begin
  sum := 0;
  for b: artifact do
    copies := present[b];
    for i: id do
      if open_order[i] & what[i] = b then
        copies := copies + 1;
      end;
    end;
    if b = a then copies := copies + 1; end;
    if !DOUBLED & copies > 1 then copies := 1; end;
    sum := sum + copies;
  end;
  return sum;
end;

function used(): 0..20;
  var sum: 0..20;
begin
  sum := 0;
  for a: artifact do
    sum := sum + loaded[a];
  end;
  return sum;
end;

-- A write succeeds for the holder of the lease, on the newest record.
function may_write(c: controller): boolean;
begin
  return !GUARD_LEASE | (term[c] = revision_term & !stale[c]);
end;

procedure load(a: artifact);
begin
  if loaded[a] = 0 | DOUBLED then
    loaded[a] := loaded[a] + 1;
  end;
end;

-- The engine's report as asked for now is taken into the record.
procedure take_report();
begin
  for i: id do
    if open_order[i] & finished[i] & seen_in[i] != 0 &
       seen_in[i] != engine_run + 1 then
      open_order[i] := false;
    end;
  end;
  if engine_run != known_run then
    for i: id do
      if open_order[i] & ((!GUARD_SENDER) |
                          (!GUARD_SEEN_AFTER & finished[i])) then
        open_order[i] := false;
      end;
    end;
    known_run := engine_run;
  end;
  for i: id do
    if open_order[i] & finished[i] & seen_in[i] = 0 then
      seen_in[i] := engine_run + 1;
    end;
  end;
  for a: artifact do
    present[a] := loaded[a];
  end;
end;

startstate
begin
  for a: artifact do
    present[a] := 0;
    loaded[a] := 0;
  end;
  for i: id do
    open_order[i] := false;
    finished[i] := false;
    seen_in[i] := 0;
    state[i] := unused;
    what[i] := 0;
    who[i] := 0;
    to_run[i] := 0;
    done[i] := false;
  end;
  known_run := 0;
  revision_term := 1;
  for c: controller do
    term[c] := 0;
    stale[c] := false;
  end;
  term[0] := 1;
  stale[1] := true;
  engine_run := 0;
  highest := 0;
end;

ruleset c: controller; a: artifact; i: id do
  rule "record a load"
    may_write(c) & term[c] != 0 & state[i] = unused &
    (i = 1 | state[i - 1] != unused) & reserved_with(a) <= CAPACITY
  ==>
  begin
    if stale[c] then
      -- Without the guard, an old holder writes its old copy over the record.
      for j: id do
        if who[j] != c then open_order[j] := false; end;
      end;
    end;
    state[i] := recorded;
    what[i] := a;
    who[i] := c;
    open_order[i] := GUARD_RECORD_FIRST;
    for d: controller do
      if d != c then stale[d] := true; end;
    end;
  end;
end;

ruleset i: id do
  -- However late: the sender may have been paused, and lost its lease.
  rule "send"
    state[i] = recorded
  ==>
  begin
    state[i] := sent;
    to_run[i] := engine_run;
    if !GUARD_RECORD_FIRST then open_order[i] := true; end;
  end;

  rule "deliver"
    state[i] = sent & to_run[i] = engine_run
  ==>
  begin
    state[i] := delivered;
    if !FENCING | i >= highest then
      done[i] := true;
      if i > highest then highest := i; end;
      load(what[i]);
    end;
  end;

  rule "answer"
    state[i] = delivered & to_run[i] = engine_run & open_order[i] &
    to_run[i] = known_run & may_write(who[i])
  ==>
  begin
    state[i] := gone;
    open_order[i] := false;
    if done[i] then
      -- Counted unless a report showed it already.
      if present[what[i]] < loaded[what[i]] then
        present[what[i]] := present[what[i]] + 1;
      end;
      if FENCING & !GUARD_REPORT then
        for j: id do
          if j < i & open_order[j] then
            open_order[j] := false;
          end;
        end;
      end;
    end;
  end;

  -- The sender gives up; the order may still be under way.
  rule "finish without an answer"
    (state[i] = sent | state[i] = delivered) & open_order[i] &
    !finished[i] & may_write(who[i])
  ==>
  begin
    finished[i] := true;
  end;

  rule "forget without keeping the room"
    !GUARD_UNSETTLED & state[i] = sent & open_order[i] & may_write(who[i])
  ==>
  begin
    open_order[i] := false;
  end;
end;

ruleset c: controller do
  rule "take a report that was asked for"
    may_write(c) & term[c] != 0
  ==>
  begin
    take_report();
  end;

  rule "take the lease"
    term[c] != revision_term & revision_term < 2
  ==>
  begin
    revision_term := revision_term + 1;
    term[c] := revision_term;
    stale[c] := false;
  end;
end;

rule "the engine restarts"
  engine_run < 2
==>
begin
  engine_run := engine_run + 1;
  highest := 0;
  for a: artifact do
    loaded[a] := 0;
  end;
end;

invariant "accelerator memory is never overcommitted"
  used() <= CAPACITY;
