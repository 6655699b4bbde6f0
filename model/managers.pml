/*
 * Owners of one range of keys under two managers that follow each other, as the
 * router has them (packages shards and shardmanager).
 *
 * The store gives the lock to one manager at a time, and a map is written only by
 * the one that has it. The store may take the lock of the first manager away
 * without telling it; the first one then renews its grants for AUTHORITY more, or
 * until it learns that a second one has begun. Time is a global counter. An order
 * may be lost, or be carried out at any time up to LATE after it was sent; a grant
 * lasts for HOLD from then.
 *
 * The machine of the first manager may be suspended at any time: it does nothing
 * while time goes on. That is one of the orders in which things may happen, as long
 * as it measures its authority on a clock that runs on meanwhile.
 *
 * A write of the first manager may be done without its knowing, or never. A range that
 * nobody holds may be restored to the owner that the map names, under a higher fence that
 * is not written, as long as no write that names another owner is under way.
 *
 * Properties: at most one server holds the range at any time, and the fence under
 * which it is held never goes back.
 *
 * Weakened variants, each of which must fail:
 *   NOPENDING    the second manager takes the first one as over at once
 *   NOLATE       the first one says that it is over while its orders are under way
 *   NOSTOP       the first one goes on renewing after it has said that it is over
 *   NOFLOOR      a server takes a grant below a fence that released the range
 *   EARLYGRANT   a new owner gets its grant before the map names it
 *   STANDSTILL   the first one measures its authority on a clock that stands still
 *                while its machine is suspended
 *   RESTOREWRITTEN  a range is restored while a write that names another owner is
 *                under way
 */
#define HOLD 2
#define LATE 2
#define AUTHORITY 1
#define HORIZON 8
#define MAXFENCE 3    /* of the first manager */
#define EPOCH 4       /* the second manager's first fence, above all of the first one */
#define MAXEPOCH 5
#define MAXSLEPT 4    /* for how long the first manager's machine is suspended in all */
#define SLOTS 1       /* grants on their way at once */
#define NONE 15

byte now = 0;

/* The store. */
byte lock = 1;        /* the manager that has it, 0 none */
byte owner = 0;
byte fence = 1;

/* What each manager knows; index 0 is the first one. */
byte ownerKnown[2];
byte fenceKnown[2];
bool vacant[2];       /* nobody can hold the range any more */
byte heldUntil[2];    /* when the last grant of this manager can end */
byte lateUntil[2];    /* when the last of its grants can still be carried out */
bool begun = false;   /* the second manager has the lock and a map */
bool stopped = false; /* the first one sends no orders any more */
byte lostAt = NONE;   /* when the store took the first one's lock */
byte inheritedUntil = 0;
bool writing = false; /* the first one's write is under way, or its answer is lost */
bool written = false; /* the store has done it */
#ifdef STANDSTILL
byte slept = 0;       /* for how long the first one's clock stood still since then */
#define MEASURED (now - slept)
#else
#define MEASURED now
#endif

/* The servers. */
byte held[2];
byte until[2];
byte highest[2];      /* highest fence seen */

/* Grants on their way. */
bool used[SLOTS]; byte mTo[SLOTS]; byte mFence[SLOTS]; byte mSent[SLOTS];
byte newest = 0;

#define HOLDS(s) (held[s] > 0 && now < until[s])
#define FIRST_SENDS (!stopped && (lock == 1 || (lostAt != NONE && MEASURED <= lostAt + AUTHORITY)))
#define SENDS(m) ((m == 0 && FIRST_SENDS) || (m == 1 && begun))
#define MAX(a, b) (a > b -> a : b)

inline send(m, to, withFence) {
  d_step {
    k = 0;
    do
    :: k < SLOTS && used[k] -> k++
    :: else -> break
    od;
    if
    :: k < SLOTS ->
       used[k] = true; mTo[k] = to; mFence[k] = withFence; mSent[k] = now;
       heldUntil[m] = MAX(heldUntil[m], now + LATE + HOLD);
       lateUntil[m] = MAX(lateUntil[m], now + LATE)
    :: else
    fi;
    k = 0
  }
}

/* A grant arrives; one that comes too late was lost. */
inline deliver(k0) {
  d_step {
    s = mTo[k0];
    if
    :: now >= until[s] -> held[s] = 0
    :: else
    fi;
    if
#ifdef NOFLOOR
    :: now <= mSent[k0] + LATE ->
#else
    :: now <= mSent[k0] + LATE && mFence[k0] >= highest[s] ->
#endif
       held[s] = mFence[k0];
       highest[s] = MAX(highest[s], mFence[k0]);
       until[s] = now + HOLD;
       assert(held[s] >= newest);
       newest = held[s]
    :: else
    fi;
    used[k0] = false; mTo[k0] = 0; mFence[k0] = 0; mSent[k0] = 0;
    s = 0
  }
}

/* A release that is acknowledged; one that is lost changes nothing. */
inline release(m) {
  d_step {
    s = ownerKnown[m];
    highest[s] = MAX(highest[s], fenceKnown[m] + 1);
    held[s] = 0;
    vacant[m] = true;
    s = 0
  }
}

/* A manager names the next owner. The release took a fence too. */
inline name(m) {
  ownerKnown[m] = 1 - ownerKnown[m];
  fenceKnown[m] = fenceKnown[m] + 1;
  vacant[m] = false;
  heldUntil[m] = now
}

/* The second manager's write and its answer are one step: it is never cut off. */
inline commit() {
  d_step { name(1); owner = ownerKnown[1]; fence = fenceKnown[1] }
}

/* The store does the first manager's write, which is conditional on its lock. */
inline write() {
  d_step { written = true; owner = 1 - ownerKnown[0]; fence = fenceKnown[0] + 1 }
}

/* The first manager gets the answer. */
inline committed() {
  d_step { name(0); writing = false; written = false }
}

/* The owner that the map names gets the range back. */
inline restore() {
  d_step { fenceKnown[0] = fenceKnown[0] + 1; vacant[0] = false; heldUntil[0] = now }
}

/* Time goes on. Moments that are over are forgotten, so that there are fewer states. */
inline tick() {
  now++;
  s = 0;
  do
  :: s < 2 ->
     if
     :: now >= until[s] -> held[s] = 0; until[s] = 0
     :: else
     fi;
     if
     :: now > heldUntil[s] -> heldUntil[s] = 0
     :: else
     fi;
     if
     :: now > lateUntil[s] -> lateUntil[s] = 0
     :: else
     fi;
     s++
  :: else -> break
  od;
  if
  :: used[0] && now > mSent[0] + LATE -> used[0] = false; mTo[0] = 0; mFence[0] = 0; mSent[0] = 0
  :: else
  fi;
  s = 0
}

active proctype protocol() {
  byte k = 0;
  byte s = 0;
  d_step { ownerKnown[0] = 0; fenceKnown[0] = 1 }
  do
  :: now < HORIZON -> d_step { tick() }
#ifdef STANDSTILL
  :: lostAt != NONE && now < HORIZON && slept < MAXSLEPT -> d_step { tick(); slept++ }
#endif
  :: /* the store takes the first manager's lock */
     lock == 1 -> d_step { lock = 0; lostAt = now }
  :: /* the second manager takes the lock and writes its map with it */
     lock == 0 && !begun ->
     d_step {
       lock = 2; begun = true;
       fence = EPOCH;
       ownerKnown[1] = owner; fenceKnown[1] = fence;
#ifdef NOPENDING
       inheritedUntil = now + HOLD
#else
       inheritedUntil = now + AUTHORITY + LATE + HOLD
#endif
     }
  :: /* the first one learns of it, waits for its late orders and says so */
#ifdef NOLATE
     begun && !stopped ->
#else
     begun && !stopped && now > lateUntil[0] ->
#endif
     d_step {
       stopped = true;
       if
       :: now + HOLD < inheritedUntil -> inheritedUntil = now + HOLD
       :: else
       fi
     }
  :: SENDS(0) && !vacant[0] -> send(0, ownerKnown[0], fenceKnown[0])
#ifdef NOSTOP
  :: stopped -> send(0, ownerKnown[0], fenceKnown[0])
#endif
  :: SENDS(1) && !vacant[1] -> send(1, ownerKnown[1], fenceKnown[1])
  :: SENDS(0) && lock == 1 && !vacant[0] -> release(0)
  :: SENDS(1) && !vacant[1] -> release(1)
  :: /* an owner that stays silent is waited for */
     SENDS(0) && lock == 1 && !vacant[0] && now > heldUntil[0] -> vacant[0] = true
  :: SENDS(1) && !vacant[1] && now > heldUntil[1] && now > inheritedUntil -> vacant[1] = true
  :: lock == 1 && vacant[0] && !writing && fenceKnown[0] < MAXFENCE -> writing = true
  :: lock == 1 && writing && !written -> write()
  :: writing && written -> committed()
#ifdef RESTOREWRITTEN
  :: SENDS(0) && vacant[0] && fenceKnown[0] < MAXFENCE -> restore()
#else
  :: SENDS(0) && vacant[0] && !writing && fenceKnown[0] < MAXFENCE -> restore()
#endif
  :: lock == 2 && vacant[1] && fenceKnown[1] < MAXEPOCH -> commit()
#ifdef EARLYGRANT
  :: SENDS(0) && vacant[0] -> send(0, 1 - ownerKnown[0], fenceKnown[0] + 1)
#endif
  :: atomic {
       if
       :: used[0] -> deliver(0)
       :: else
       fi
     }
  :: assert(!(HOLDS(0) && HOLDS(1)))
  od
}
