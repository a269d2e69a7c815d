-- SPDX-License-Identifier: MIT
-- Calls that may not be repeated (src/scheduler/process/claim_batcher.*,
-- src/gateway/request/service_exchange.cc): two submissions under one key at
-- two gateways, a key-value service whose answers are lost or late, backend
-- servers that die before or after the run, gateways that die at any point.
--
-- check.sh sets the constants below; each guard set to false must give a
-- counter-example.

const
  GUARD_CLAIM_FIRST: true;   -- nothing is sent without a claim
  GUARD_CREATE_ONLY: true;   -- a claim is made only where there is none
  GUARD_READ_BACK: true;     -- a lost answer is read back by claim id
  GUARD_RELEASE: true;       -- a claim is released only if nothing was sent
  GUARD_UNKNOWN: true;       -- an attempt that may have run is not repeated
  GUARD_FRESH: true;         -- "not run" only if no byte was handed over

type
  submission: 0..1;
  step: enum { start, writing, claimed, sent, finished, dead };
  told: enum { nothing, completed, not_run, unknown };
  attempt: 0..2;

var
  holder: -1..1;          -- whose claim is in the key-value service
  answered: boolean;      -- the claim holds a recorded answer
  at: array [submission] of step;
  answer: array [submission] of told;
  in_flight_write: array [submission] of boolean;
  handed_over: array [submission] of boolean;
  attempts: array [submission] of attempt;
  ran_by: array [submission] of boolean;
  runs: 0..4;
  arrived: array [submission] of 0..2;  -- requests at the backend server

startstate
begin
  holder := -1;
  answered := false;
  runs := 0;
  for s: submission do
    at[s] := start;
    answer[s] := nothing;
    in_flight_write[s] := false;
    handed_over[s] := false;
    attempts[s] := 0;
    ran_by[s] := false;
    arrived[s] := 0;
  end;
end;

ruleset s: submission do
  rule "ask for the claim"
    at[s] = start
  ==>
  begin
    at[s] := writing;
    in_flight_write[s] := true;
  end;

  -- The write takes effect, at once or long after its answer was given up.
  rule "the write takes effect"
    in_flight_write[s]
  ==>
  begin
    in_flight_write[s] := false;
    if holder = -1 | !GUARD_CREATE_ONLY then
      holder := s;
    end;
  end;

  rule "the write is lost"
    in_flight_write[s]
  ==>
  begin
    in_flight_write[s] := false;
  end;

  -- The answer, or reading back after it was lost, shows who holds the claim.
  rule "the claim is seen"
    at[s] = writing & !in_flight_write[s] & holder != -1
  ==>
  begin
    if holder = s then
      at[s] := claimed;
    else
      at[s] := finished;
      if answered then
        answer[s] := completed;
      else
        answer[s] := unknown;
      end;
    end;
  end;

  rule "the claim is not seen"
    at[s] = writing & (holder = -1 | in_flight_write[s])
  ==>
  begin
    if GUARD_READ_BACK then
      -- Nothing was sent.
      at[s] := finished;
      answer[s] := not_run;
    else
      at[s] := claimed;
    end;
  end;

  rule "send without a claim"
    !GUARD_CLAIM_FIRST & at[s] = start
  ==>
  begin
    at[s] := claimed;
  end;

  rule "hand over"
    at[s] = claimed & attempts[s] < 2
  ==>
  begin
    at[s] := sent;
    handed_over[s] := true;
    attempts[s] := attempts[s] + 1;
    arrived[s] := arrived[s] + 1;
  end;

  rule "no connection"
    at[s] = claimed & attempts[s] < 2
  ==>
  begin
    attempts[s] := attempts[s] + 1;
    if !GUARD_FRESH then
      -- A pooled connection took the bytes and was closed.
      arrived[s] := arrived[s] + 1;
    end;
  end;

  rule "give up before anything was sent"
    at[s] = claimed & !handed_over[s]
  ==>
  begin
    at[s] := finished;
    answer[s] := not_run;
    if holder = s then
      holder := -1;
    end;
  end;

  rule "release after the outcome is unknown"
    !GUARD_RELEASE & at[s] = sent
  ==>
  begin
    at[s] := finished;
    answer[s] := unknown;
    if holder = s then
      holder := -1;
    end;
  end;

  -- It says that it did not run the request.
  rule "the backend server refuses"
    at[s] = sent & arrived[s] > 0
  ==>
  begin
    arrived[s] := arrived[s] - 1;
    handed_over[s] := false;
    at[s] := claimed;
  end;

  rule "the backend server runs it"
    arrived[s] > 0
  ==>
  begin
    arrived[s] := arrived[s] - 1;
    runs := runs + 1;
    ran_by[s] := true;
  end;

  rule "the backend server dies before it ran"
    arrived[s] > 0
  ==>
  begin
    arrived[s] := arrived[s] - 1;
  end;

  rule "the answer arrives"
    at[s] = sent & ran_by[s] & arrived[s] = 0
  ==>
  begin
    at[s] := finished;
    answer[s] := completed;
    if holder = s then
      answered := true;
    end;
  end;

  rule "the connection is cut"
    at[s] = sent
  ==>
  begin
    if GUARD_UNKNOWN then
      at[s] := finished;
      answer[s] := unknown;
    else
      at[s] := claimed;
    end;
  end;

  rule "the gateway dies"
    at[s] != finished & at[s] != dead
  ==>
  begin
    at[s] := dead;
  end;
end;

invariant "at most one run"
  runs <= 1;

invariant "not run means not run"
  forall s: submission do
    answer[s] = not_run -> (!ran_by[s] & arrived[s] = 0)
  end;
