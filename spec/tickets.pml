/* Tickets: a non-repeatable request runs at most once.
 *
 * A caller repeats a request with one ticket. Messages are lost, late and reordered;
 * the holder crashes, restarts and wakes late. Mutants, each of which must be caught:
 *   MUTANT_INCARNATION  a restarted holder takes tickets of its former incarnation
 *   MUTANT_RESEND       the holder calls again after a call whose end it did not hear
 *   MUTANT_FORGET       the holder forgets that the ticket has been used
 *   MUTANT_NOT_RUN      the holder says "not run" of a call whose end it did not hear
 */

#define REPEATS 3
#define CRASHES 2
#define ATTEMPTS 2

mtype = { UNUSED, RUNNING, ANSWERED, UNKNOWN };

byte runs = 0;
byte incarnation = 1;
byte crashes = 0;
byte attempt = 0;
byte calls = 0;
mtype ticket = UNUSED;

/* Uses on their way to the holder, with the incarnation that the ticket names. */
chan uses = [REPEATS] of { byte };
/* Calls on their way to the backend server, with their number. */
chan requests = [4] of { byte };
/* Ends on their way back: number of the call, and whether the server refused it. */
chan replies = [4] of { byte, bool };

inline send_call() {
  calls++;
  attempt = calls;
  requests!attempt;
}

/* "Not run" may be said only if nothing ran and nothing on its way can run. */
inline say_not_run() {
  assert(runs == 0 && len(requests) == 0);
  ticket = UNUSED;
}

active proctype Caller() {
  byte sent = 0;
  do
  :: sent < REPEATS -> uses!1; sent++
  :: break
  od
}

active proctype Holder() {
  byte named, number;
  byte refused_calls = 0;
  bool refused;
end:
  do
  :: atomic {
       uses?named ->
       if
#ifndef MUTANT_INCARNATION
       :: named != incarnation -> skip
       :: named == incarnation && ticket == UNUSED ->
#else
       :: ticket == UNUSED ->
#endif
          if
          :: calls < 3 -> ticket = RUNNING; refused_calls = 0; send_call()
          :: else -> skip
          fi
       :: else -> skip
       fi
     }
  :: atomic {
       replies?number, refused ->
       if
       :: ticket == RUNNING && number == attempt && refused ->
          refused_calls++;
          if
          :: refused_calls < ATTEMPTS && calls < 3 -> send_call()
          :: else -> say_not_run()
          fi
       :: ticket == RUNNING && number == attempt && !refused ->
#ifdef MUTANT_FORGET
          ticket = UNUSED
#else
          ticket = ANSWERED
#endif
       :: else -> skip
       fi
     }
  /* The deadline passes, or the connection is lost, at any moment. */
  :: atomic {
       ticket == RUNNING ->
#ifdef MUTANT_RESEND
       if
       :: calls < 3 -> send_call()
       :: else -> ticket = UNKNOWN
       fi
#else
#ifdef MUTANT_NOT_RUN
       say_not_run()
#else
       ticket = UNKNOWN
#endif
#endif
     }
  :: atomic {
       crashes < CRASHES ->
       crashes++;
       incarnation++;
       ticket = UNUSED;
       attempt = 0
     }
  od
}

active proctype Server() {
  byte number;
end:
  do
  :: requests?number ->
     if
     :: replies!number, true
     :: runs++; assert(runs <= 1); replies!number, false
     fi
  /* A call is lost on its way. */
  :: requests?_
  /* An end is lost on its way. */
  :: replies?_, _
  od
}
