/* Model of the tables: acceptance and gossip of the values of one key.
 *
 * Values are ordered by (revision number, digest). Value 3 is malformed; values 4 and 5 have the
 * same number and different digests. The configuration service may serve any value published so
 * far, as one with stale or rolled back data does. Gossip between instances may be lost,
 * duplicated and reordered; instances restart without values. Checked: no instance accepts a
 * malformed value or replaces a value by an older one, and after a complete exchange all instances
 * have the same value.
 *
 * Mutants, in each of which the search must find an error:
 *   MUTANT_LAST_WINS    the value received last replaces the current one, whatever its order
 *   MUTANT_NUMBER_ONLY  values with equal numbers are not ordered by digest
 *   MUTANT_NO_CHECK     malformed values are accepted
 */

/* Size of the model. A run has at most RESTARTS restarts and STEPS steps. */
#define INSTANCES 3
#define VALUES 5
#define MALFORMED 3
#define RESTARTS 2
#define STEPS 9

byte published = 0;
byte current_value[INSTANCES];
byte restarts = 0;
byte steps = 0;

/* Revision number of a value: values 4 and 5 have the same one. */
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

inline offer(instance, value) {
  if
  :: value > 0 && WELL_FORMED(value) && NEWER(value, current_value[instance]) ->
     assert(value > current_value[instance]);
     assert(value != MALFORMED);
     current_value[instance] = value
  :: else -> skip
  fi
}

active proctype System() {
  byte instance, peer, value;
  do
  :: steps < STEPS ->
     atomic {
       steps++;
       if
       :: published < VALUES -> published++
       /* An instance reads from the service, which may serve any value published so far. */
       :: published > 0 ->
          select(instance : 0 .. INSTANCES - 1);
          select(value : 1 .. published);
          offer(instance, value)
       /* An instance receives the current value of a peer. */
       :: select(instance : 0 .. INSTANCES - 1);
          select(peer : 0 .. INSTANCES - 1);
          value = current_value[peer];
          offer(instance, value)
       /* An instance restarts without a value. */
       :: restarts < RESTARTS ->
          restarts++;
          select(instance : 0 .. INSTANCES - 1);
          current_value[instance] = 0
       fi
     }
  :: break
  od;
  /* All instances exchange their values twice, after which no exchange changes a value any more.
   * Then all instances must have the same value. */
  atomic {
    for (instance : 0 .. INSTANCES - 1) {
      for (peer : 0 .. INSTANCES - 1) {
        value = current_value[peer];
        offer(instance, value)
      }
    }
    for (instance : 0 .. INSTANCES - 1) {
      for (peer : 0 .. INSTANCES - 1) {
        value = current_value[peer];
        offer(instance, value)
      }
    }
    assert(current_value[0] == current_value[1] && current_value[1] == current_value[2])
  }
}
