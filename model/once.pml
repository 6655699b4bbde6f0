/*
 * A request that may not be repeated runs at most once.
 *
 * The caller repeats the request under one idempotency key. Two leaders follow
 * each other; the first may freeze between any two steps and go on later, when
 * it no longer leads. The journal is the group's committed log: an entry is
 * committed only by the present leader, and a new leader sees all of it.
 *
 * Properties: the request runs at most once, and a caller who was told "not
 * run" under an attempt never finds that this attempt ran.
 *
 * Weakened variants, each of which must fail:
 *   NOJOURNAL   the request is sent before the journal holds it
 *   OPTIMIST    a new leader takes a begun request for one that did not run
 */
#define ATTEMPTS 3

byte leader = 1;
byte journal = 0;        /* 0 nothing, 1 begun, 2 done */
byte journalBy = 0;      /* the leader that began */
byte runs = 0;
bool toldNotRun = false;

/* Per leader: the step of the attempt it works on. */
#define IDLE 0
#define PROPOSED 1
#define BEGUN 2
#define SENT 3
byte step[3];
bool onItsWay[3];        /* a request to the server that has not arrived */
bool failed[3];          /* the server surely did not get this leader's request */
byte attempts = 0;

inline submit(l) {
  if
  :: journal == 2 -> skip                                   /* stored answer */
  :: journal == 1 && journalBy == l -> skip                 /* joins the running one */
#ifdef OPTIMIST
  :: journal == 1 && journalBy != l && step[l] == IDLE -> step[l] = BEGUN
#else
  :: journal == 1 && journalBy != l -> skip                 /* unknown */
#endif
  :: journal == 0 && step[l] == IDLE ->
#ifdef NOJOURNAL
     step[l] = BEGUN
#else
     step[l] = PROPOSED
#endif
  :: else -> skip
  fi
}

active proctype protocol() {
  do
  :: leader == 1 -> leader = 2
  :: attempts < ATTEMPTS -> attempts++; submit(leader)
  :: /* the present leader's proposal is committed */
     step[leader] == PROPOSED ->
     if
     :: journal == 0 -> journal = 1; journalBy = leader; step[leader] = BEGUN
     :: else -> step[leader] = IDLE
     fi
  :: /* a deposed leader learns that its proposal is void */
     leader == 2 && step[1] == PROPOSED -> step[1] = IDLE; toldNotRun = true
  :: /* it checked its lease and may freeze before it sends */
     step[1] == BEGUN -> step[1] = SENT; onItsWay[1] = true
  :: step[2] == BEGUN -> step[2] = SENT; onItsWay[2] = true
  :: onItsWay[1] -> onItsWay[1] = false; runs++
  :: onItsWay[2] -> onItsWay[2] = false; runs++
  :: /* the request could not be sent: the leader frees the key, if it leads */
     step[leader] == BEGUN && journal == 1 && journalBy == leader ->
     step[leader] = IDLE; journal = 0; journalBy = 0
  :: /* the answer is journaled by the present leader */
     step[leader] == SENT && !onItsWay[leader] && journal == 1 && journalBy == leader -> journal = 2; step[leader] = IDLE
  :: assert(runs <= 1)
  od
}
