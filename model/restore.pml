/*
 * Owners of one range of keys when the store is restored from an older copy
 * (docs/design/restored-store.md; packages shards and shardmanager).
 *
 * The first manager may move the range from server 0 to server 1: it releases it
 * at the owner, writes the map, and grants. A copy of the store may be saved at any
 * time, and the store restored from it once. The first manager learns of the new
 * era at some time or never, and until then goes on as before; a write of it may
 * be done at any later time if its condition holds. A second manager begins in the
 * new era, from the restored map. A server may be silent for the rest; it is then
 * waited for until the first manager's grants have surely ended, which is one step
 * here: the first manager has stopped and the server's hold has lapsed.
 *
 * Numbers of revisions recur: the map's revision is a counter that is restored too.
 * Grants carry fences; a server refuses those below the highest it has seen.
 *
 * Properties: at most one server holds the range, and a fence under which it is
 * taken is above those under which the other server held it.
 *
 * Weakened variants, each of which must fail:
 *   TRUSTMAP     the second manager grants what the restored map says at once
 *   SAMEEPOCH    the second manager's fences go on from those of the restored map
 *   SAMEKEY      the map has one key for all eras, so that late writes of the first
 *                manager may replace the second one's map
 *   NOWAIT       a silent server counts as fenced off at once
 *   NOFLOOR      a server takes a grant below a fence that released the range
 */
#define MAXFENCE 6    /* of the first manager's releases */
#define ERABASE 10     /* the fences of the new era are above all of the old one */
#ifdef SAMEEPOCH
#define ERAFENCE(f) (f + 1)
#else
#define ERAFENCE(f) (ERABASE + f)
#endif
#define NOBODY 2

/* The store: the map of the old era, that of the new one, and the saved copy. */
byte era = 0;
byte owner = 0, number = 1;
byte newOwner = NOBODY, newNumber = 0;
bool saved = false;
byte savedOwner = 0, savedNumber = 1;

/* The first manager. */
byte firstOwner = 0;      /* that of the map that it wrote last */
byte firstNumber = 1;
byte fence = 1;           /* the last that it gave out */
byte ownFence = 1;        /* that of the present grant */
bool vacant = false;      /* the owner has released the range */
bool writing = false;     /* a write is on its way */
byte writeNumber = 0;     /* its condition */
bool stopped = false;

/* The second manager, in the new era. */
bool begun = false;
byte secondOwner = NOBODY;
byte secondFence = 0;
byte secondNumber = 0;
bool fenced[2];
bool verified = false;
bool secondVacant = false;

/* The servers. */
bool holds[2];
byte highest[2];
byte heldUnder[2];        /* the fence under which the range was held last */
bool silent[2];           /* takes no orders of the second manager */

inline take(s, f) {
  if
#ifdef NOFLOOR
  :: true ->
#else
  :: f >= highest[s] ->
#endif
     highest[s] = f;
     holds[s] = true;
     assert(heldUnder[1 - s] < f);
     heldUnder[s] = f
  :: else
  fi
}

inline give(s, f) {
  if
  :: f > highest[s] -> highest[s] = f
  :: else
  fi;
  holds[s] = false
}

active proctype protocol() {
  byte other;
  d_step { holds[0] = true; highest[0] = 1; heldUnder[0] = 1 }
  do
  /* The store. */
  :: era == 0 && !saved -> d_step { saved = true; savedOwner = owner; savedNumber = number }
  :: era == 0 && saved -> d_step { era = 1; owner = savedOwner; number = savedNumber }
  /* A hold lapses if it is not renewed; the first manager renews until it stops. */
  :: holds[0] && stopped && !(verified && secondOwner == 0 && !secondVacant) -> holds[0] = false
  :: holds[1] && stopped && !(verified && secondOwner == 1 && !secondVacant) -> holds[1] = false
  :: !silent[0] && !silent[1] -> silent[0] = true
  :: !silent[0] && !silent[1] -> silent[1] = true

  /* The first manager. */
  :: !stopped && !vacant -> d_step { take(firstOwner, ownFence) }
  :: !stopped && !vacant && !writing && fence < MAXFENCE -> d_step { fence++; give(firstOwner, fence); vacant = true }
  :: !stopped && vacant && !writing -> d_step { writing = true; writeNumber = firstNumber }
  :: /* the store does the write, now or late */
     writing && number == writeNumber && era == 0 ->
     d_step {
       owner = 1 - firstOwner; number++;
       firstOwner = owner; firstNumber = number; fence++; ownFence = fence; vacant = false; writing = false
     }
#ifdef SAMEKEY
  :: writing && era == 1 && begun && newNumber == writeNumber -> d_step { newOwner = 1 - firstOwner; newNumber++; writing = false }
#endif
  :: /* a write that changes no owner */
     !stopped && !vacant && !writing && era == 0 && number < 4 -> d_step { number++; firstNumber = number }
  :: writing && era == 1 && number == writeNumber ->
     /* done in the new era: to a key of the old one, and the answer tells the era */
     d_step { owner = 1 - firstOwner; number++; writing = false }
  :: era == 1 && !stopped -> stopped = true

  /* The second manager: its lock and first map are one write. */
  :: era == 1 && !begun ->
     d_step {
       begun = true; secondOwner = owner; newOwner = owner;
#ifdef SAMEKEY
       newNumber = number + 1;
#else
       newNumber = 1;
#endif
       secondNumber = newNumber;
#ifdef SAMEEPOCH
       secondFence = number + 1;
#endif
#ifdef TRUSTMAP
       verified = true;
#endif
     }
  :: /* the server that the map does not name releases the range */
     begun && !verified && secondFence < 4 ->
     d_step {
       other = 1 - secondOwner;
       if
       :: !silent[other] -> give(other, ERAFENCE(secondFence)); fenced[other] = true
#ifdef NOWAIT
       :: silent[other] -> fenced[other] = true
#else
       :: silent[other] && stopped && !holds[other] -> fenced[other] = true
#endif
       :: else
       fi;
       verified = fenced[other];
       other = 0
     }
  :: begun && verified && !secondVacant && !silent[secondOwner] -> d_step { take(secondOwner, ERAFENCE(secondFence)) }
  :: begun && verified && !secondVacant && !silent[secondOwner] && secondFence < 3 ->
     d_step { secondFence++; give(secondOwner, ERAFENCE(secondFence)); secondVacant = true }
  :: begun && verified && secondVacant && newNumber == secondNumber && secondFence < 3 ->
     d_step {
       secondOwner = 1 - secondOwner; newOwner = secondOwner; newNumber++; secondNumber = newNumber;
       secondFence++; secondVacant = false
     }
  :: /* it reads its map after a start, as its successor does: who it names may hold the range */
     begun && verified && !secondVacant && newNumber != secondNumber ->
     d_step { secondOwner = newOwner; secondNumber = newNumber; secondFence++ }
  :: assert(!(holds[0] && holds[1]))
  od
}
