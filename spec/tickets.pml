/* Model of the tickets: a non-repeatable request runs at most once.
 *
 * A caller sends a request repeatedly with the same ticket. Messages may be lost, delayed and
 * reordered; the instance that holds the ticket may crash, restart, and resume late after a pause.
 * Checked: the request runs at most once, and the answer "not run" is given only if no call has run
 * or can still run.
 *
 * Mutants, in each of which the search must find an error:
 *   MUTANT_INCARNATION  a restarted holder accepts tickets of its former incarnation
 *   MUTANT_RESEND       the holder sends another call after a call with an unknown result
 *   MUTANT_FORGET       the holder does not store that the ticket has been used
 *   MUTANT_NOT_RUN      the holder answers "not run" after a call with an unknown result
 */

/* Size of the model: most requests of the caller and most crashes of the holder in a run, and the
 * number of refused calls at which the holder gives up. */
#define REPEATS 3
#define CRASHES 2
#define REFUSED_CALLS_MAX 2

mtype = { UNUSED, RUNNING, ANSWERED, UNKNOWN };

byte run_count = 0;
byte incarnation = 1;
byte crashes = 0;
byte current_call = 0;
/* Calls sent so far; the model sends at most three. */
byte call_count = 0;
mtype ticket = UNUSED;

/* Requests in transit to the holder, each with the incarnation that its ticket names. */
chan ticket_uses = [REPEATS] of { byte };
/* Calls in transit to the backend server, each with its number. */
chan server_calls = [4] of { byte };
/* Replies in transit to the holder: number of the call, and whether the server refused it. */
chan replies = [4] of { byte, bool };

inline send_call() {
  call_count++;
  current_call = call_count;
  server_calls!current_call;
}

/* The answer "not run" is correct only if no call has run and none in transit can still run. */
inline answer_not_run() {
  assert(run_count == 0 && len(server_calls) == 0);
  ticket = UNUSED;
}

active proctype Caller() {
  byte sent = 0;
  /* The ticket was issued by the first incarnation of the holder. */
  do
  :: sent < REPEATS -> ticket_uses!1; sent++
  :: break
  od
}

active proctype Holder() {
  byte named_incarnation, number;
  byte refused_calls = 0;
  bool refused;
end:
  do
  :: atomic {
       ticket_uses?named_incarnation ->
       if
#ifndef MUTANT_INCARNATION
       :: named_incarnation != incarnation -> skip
       :: named_incarnation == incarnation && ticket == UNUSED ->
#else
       :: ticket == UNUSED ->
#endif
          if
          :: call_count < 3 -> ticket = RUNNING; refused_calls = 0; send_call()
          :: else -> skip
          fi
       :: else -> skip
       fi
     }
  :: atomic {
       replies?number, refused ->
       if
       :: ticket == RUNNING && number == current_call && refused ->
          refused_calls++;
          if
          :: refused_calls < REFUSED_CALLS_MAX && call_count < 3 -> send_call()
          :: else -> answer_not_run()
          fi
       :: ticket == RUNNING && number == current_call && !refused ->
#ifdef MUTANT_FORGET
          ticket = UNUSED
#else
          ticket = ANSWERED
#endif
       :: else -> skip
       fi
     }
  /* At any time, the deadline passes or the connection to the server is lost. */
  :: atomic {
       ticket == RUNNING ->
#ifdef MUTANT_RESEND
       if
       :: call_count < 3 -> send_call()
       :: else -> ticket = UNKNOWN
       fi
#else
#ifdef MUTANT_NOT_RUN
       answer_not_run()
#else
       ticket = UNKNOWN
#endif
#endif
     }
  /* The holder crashes and restarts with a new incarnation, without any state. */
  :: atomic {
       crashes < CRASHES ->
       crashes++;
       incarnation++;
       ticket = UNUSED;
       current_call = 0
     }
  od
}

active proctype Server() {
  byte number;
end:
  do
  :: server_calls?number ->
     /* The server refuses the call, or runs it. */
     if
     :: replies!number, true
     :: run_count++; assert(run_count <= 1); replies!number, false
     fi
  /* A call is lost in transit. */
  :: server_calls?_
  /* A reply is lost in transit. */
  :: replies?_, _
  od
}
