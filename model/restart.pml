/*
 * Owners of one range of keys when servers restart under their id at their address, and
 * when grants get no answer (packages shards and shardmanager).
 *
 * A grant or release addresses a server by its address and instance id, which its
 * incarnations share. A restart forgets the hold and the highest fence, and loses the
 * grants that the old process had received but not executed. The registration of the new
 * incarnation reaches the manager later or never.
 *
 * A manager has one grant in flight at a time. The grant reaches whichever incarnation
 * runs then and is executed and answered, or it gets no answer: it is lost, was executed,
 * or is bound to the process that runs then, which executes it once at any later time or
 * never. The manager learns later which of the two it was, or ends before. A grant whose
 * manager has ended, or has given up waiting, reaches no process that starts after that:
 * a connection ends with either of its processes. After an unanswered grant the next ones
 * carry a higher fence, and an accepted one ends the wait for those before.
 *
 * A range changes owners after an acknowledged release, which is sent only while no grant
 * is in flight, or when no lease of the owner can be left. Time is not counted: a lease
 * may end at any moment, and the wait for it ends once the server does not hold the range
 * and, if unanswered grants are waited for, can execute none of them. A release that is
 * repeated or late only takes a hold away, so it is left out.
 *
 * A second manager may begin after the first one has ended without resigning. It continues
 * from the owner that the map names, under higher fences, and waits for unanswered grants
 * of the first one until the owner has accepted a fence of its own. A manager that goes on
 * beside its successor is left out: see managers.pml.
 *
 * Properties: at most one server holds the range, and a server takes it only under a fence
 * above those under which the other one held it.
 *
 * Weakened variants, each of which must fail:
 *   TRUSTREGISTRATION  a registered later incarnation of the owner counts as a release
 *   TRUSTCLOSED        a grant without an answer counts as executed or lost
 *   NONOTE             the second manager expects no unanswered grants of the first one
 *   SAMEFENCE          the next grants carry the fence of an unanswered one, and an accepted
 *                      one still ends the wait
 *   INFLIGHT           a release is sent while a grant is in flight
 */
#define MAXFENCE 5    /* of the first manager */
#define EPOCH 6       /* the second manager's first fence */
#define MAXEPOCH 10

mtype = { noManager, first, second };
mtype = { owned, releasing, vacant };
mtype = { none, inFlight, accepted, refused, unanswered };

/* The store. */
byte mapOwner = 0;

/* The manager in office. */
mtype manager = first;
mtype phase = owned;
byte owner = 0;
byte fence = 1;           /* the last that it issued */
byte grantFence = 1;      /* that of its grants */
byte releaseFence = 0;
bool released = false;    /* the acknowledgement of a release is on its way */
bool late = false;        /* unanswered grants of its own are waited for */
bool inherited = false;   /* the owner has accepted no fence of the second manager yet */

/* Its grant. */
mtype grant = none;
byte grantTo = 0;
byte sentFence = 0;

/* The servers. */
bool holds[2];
byte highest[2];          /* the highest fence that the process has seen */
byte heldUnder[2];        /* the highest fence under which the range was held */
short bound[2];           /* the fences of grants that the process may still execute, as bits */
bool unregistered[2];     /* managers know an earlier incarnation */

#define CAN_ISSUE ((manager == first && fence < MAXFENCE) || (manager == second && fence < MAXEPOCH))
#define MAX(a, b) (a > b -> a : b)

#ifdef INFLIGHT
#define MAY_RELEASE true
#else
#define MAY_RELEASE (grant == none)
#endif

#ifdef TRUSTCLOSED
#define WAITS_FOR_BOUND (inherited)
#else
#define WAITS_FOR_BOUND (late || inherited)
#endif

/* A server executes a grant. */
inline take(s, f, result) {
  if
  :: f >= highest[s] ->
     assert(heldUnder[1 - s] < f);
     highest[s] = f;
     heldUnder[s] = MAX(heldUnder[s], f);
     holds[s] = true;
     result = accepted
  :: else -> result = refused
  fi
}

/* A process ends and the next incarnation starts at its address. */
inline restart(s) {
  holds[s] = false; highest[s] = 0; bound[s] = 0; unregistered[s] = true
}

inline vacate() {
  phase = vacant; releaseFence = 0; released = false; late = false; inherited = false
}

inline startRelease() {
  fence++; releaseFence = fence; phase = releasing
}

/* The registration of the running incarnation reaches the manager. */
inline register(s) {
  unregistered[s] = false;
  if
#ifdef TRUSTREGISTRATION
  :: owner == s && phase != vacant && grant == none -> vacate()
#endif
  :: owner == s && phase == owned && CAN_ISSUE -> startRelease()
  :: else
  fi
}

inline forgetGrant() {
  grant = none; grantTo = 0; sentFence = 0
}

/* The manager learns the result of its grant. */
inline learn() {
  if
  :: phase != vacant && owner == grantTo && sentFence == grantFence ->
     if
     :: grant == accepted -> late = false; inherited = false
     :: grant == unanswered ->
        late = true;
#ifndef SAMEFENCE
        if
        :: phase == owned && CAN_ISSUE -> fence++; grantFence = fence
        :: phase == owned && !CAN_ISSUE -> phase = releasing  /* the model has no fence left */
        :: else
        fi
#endif
     :: else
     fi
  :: else
  fi;
  forgetGrant()
}

/* A server executes one of the grants that are bound to its process, or drops it. */
inline executeBound(s) {
  atomic {
    bound[s] != 0 ->
    f = 0;
    do
    :: (bound[s] >> (f + 1)) != 0 -> f++
    :: (bound[s] & (1 << f)) != 0 -> break
    od;
    bound[s] = bound[s] & ~(1 << f);
    if
    :: d_step { take(s, f, ignored); ignored = none }
    :: true
    fi;
    f = 0
  }
}

active proctype protocol() {
  byte f = 0;
  mtype ignored = none;
  d_step { holds[0] = true; highest[0] = 1; heldUnder[0] = 1 }
  do
  /* The servers. */
  :: d_step { holds[0] -> holds[0] = false }  /* a lease ends */
  :: d_step { holds[1] -> holds[1] = false }
  :: d_step { restart(0) }
  :: d_step { restart(1) }
  :: executeBound(0)
  :: executeBound(1)

  /* The grant in flight. */
  :: d_step { grant == inFlight -> take(grantTo, sentFence, grant) }
  :: d_step { grant == inFlight -> grant = unanswered }  /* it is lost */
  :: d_step { grant == accepted -> grant = unanswered }  /* its answer is */
  :: d_step { grant == inFlight -> grant = unanswered; bound[grantTo] = bound[grantTo] | (1 << sentFence) }

  /* The manager in office. */
  :: d_step { manager != noManager && unregistered[0] -> register(0) }
  :: d_step { manager != noManager && unregistered[1] -> register(1) }
  :: d_step { phase == owned && manager != noManager && grant == none && CAN_ISSUE ->
       grant = inFlight; grantTo = owner; sentFence = grantFence }
  :: d_step { manager != noManager && (grant == accepted || grant == refused || grant == unanswered) -> learn() }
  :: d_step { manager != noManager && phase == owned && CAN_ISSUE -> startRelease() }
  :: /* the owner executes a release */
     d_step { manager != noManager && phase == releasing && releaseFence != 0 && MAY_RELEASE ->
       highest[owner] = MAX(highest[owner], releaseFence);
       holds[owner] = false;
       released = true }
  :: d_step { manager != noManager && phase == releasing && released -> vacate() }
  :: /* the wait for the owner's leases ends */
     d_step { manager != noManager && phase == releasing && grant == none && !holds[owner] &&
       (!WAITS_FOR_BOUND || bound[owner] == 0) -> vacate() }
  :: /* the map names the next owner */
     d_step { manager != noManager && phase == vacant && CAN_ISSUE ->
       owner = 0; mapOwner = 0; fence++; grantFence = fence; phase = owned }
  :: d_step { manager != noManager && phase == vacant && CAN_ISSUE ->
       owner = 1; mapOwner = 1; fence++; grantFence = fence; phase = owned }

  /* The first manager ends; its grant may be received or lost. */
  :: d_step { manager == first && grant == inFlight ->
       bound[grantTo] = bound[grantTo] | (1 << sentFence);
       manager = noManager; forgetGrant() }
  :: d_step { manager == first -> manager = noManager; forgetGrant() }
  :: d_step { manager == noManager ->
       manager = second;
       owner = mapOwner; phase = owned;
       fence = EPOCH; grantFence = EPOCH; releaseFence = 0; released = false;
       late = false;
#ifdef NONOTE
       inherited = false
#else
       inherited = true
#endif
     }
  :: assert(!(holds[0] && holds[1]))
  od
}
