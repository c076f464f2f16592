/* Tables: acceptance and spread of values of one key.
 *
 * Values are ordered by (number, digest). Value 3 is malformed; values 4 and 5 carry the
 * same number and differ in the digest. The service may serve any value published so
 * far, as a stale or rolled back one does. Announcements between instances are lost,
 * duplicated and reordered; instances restart empty.
 * Mutants, each of which must be caught:
 *   MUTANT_LAST_WINS    a later arrival replaces whatever is in force
 *   MUTANT_NUMBER_ONLY  equal numbers are not ordered by digest
 *   MUTANT_NO_CHECK     malformed values are taken
 */

#define NODES 3
#define VALUES 5
#define MALFORMED 3
#define RESTARTS 2
#define STEPS 9

byte published = 0;
byte in_force[NODES];
byte restarts = 0;
byte steps = 0;

/* Number of a value: the last two share theirs. */
#define NUMBER(v) ((v) == 5 -> 4 : (v))

#ifdef MUTANT_LAST_WINS
#define NEWER(v, old) ((v) != (old))
#else
#ifdef MUTANT_NUMBER_ONLY
#define NEWER(v, old) (NUMBER(v) > NUMBER(old))
#else
#define NEWER(v, old) ((v) > (old))
#endif
#endif

#ifdef MUTANT_NO_CHECK
#define WELL_FORMED(v) (true)
#else
#define WELL_FORMED(v) ((v) != MALFORMED)
#endif

inline offer(node, value) {
  if
  :: value > 0 && WELL_FORMED(value) && NEWER(value, in_force[node]) ->
     assert(value > in_force[node]);
     assert(value != MALFORMED);
     in_force[node] = value
  :: else -> skip
  fi
}

active proctype World() {
  byte node, peer, value;
  do
  :: steps < STEPS ->
     atomic {
       steps++;
       if
       :: published < VALUES -> published++
       /* A read of the service, which serves any state that it ever had. */
       :: published > 0 ->
          select(node : 0 .. NODES - 1);
          select(value : 1 .. published);
          offer(node, value)
       /* A value fetched from a peer. */
       :: select(node : 0 .. NODES - 1);
          select(peer : 0 .. NODES - 1);
          value = in_force[peer];
          offer(node, value)
       :: restarts < RESTARTS ->
          restarts++;
          select(node : 0 .. NODES - 1);
          in_force[node] = 0
       fi
     }
  :: break
  od;
  /* In the end digests are exchanged until nothing is new; then all must agree. */
  atomic {
    for (node : 0 .. NODES - 1) {
      for (peer : 0 .. NODES - 1) {
        value = in_force[peer];
        offer(node, value)
      }
    }
    for (node : 0 .. NODES - 1) {
      for (peer : 0 .. NODES - 1) {
        value = in_force[peer];
        offer(node, value)
      }
    }
    assert(in_force[0] == in_force[1] && in_force[1] == in_force[2])
  }
}
