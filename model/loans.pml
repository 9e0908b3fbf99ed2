/* Tokens lent from one slot's bucket to hosts that hold none.

   Over any interval at most CAPACITY tokens and what was refilled are used,
   whatever is lost (a message that is never taken), repeated or late.  model/README.md maps the steps to the C functions.

   Faults that must be found: -DFAULT_CREDIT_FIRST, -DFAULT_NO_LAPSE_AT_BORROWER,
   -DFAULT_REPEAT_LENDS_AGAIN, -DFAULT_CONFIRM_TWICE.  */

#define CAPACITY 2
#define LOANS 3   /* nonces */

#ifdef FAULT_NO_LAPSE_AT_BORROWER
#define MAY_USE(loan) true
#else
#define MAY_USE(loan) (!lapsed_at_borrower[loan])
#endif

byte level = CAPACITY;  /* the holder's bucket */
byte used;              /* tokens that admitted a request */
bool asked[LOANS];
bool lent[LOANS];       /* the holder has the loan on its books */
bool was_lent[LOANS];
bool answer[LOANS];     /* an answer with one token is under way */
bool borrowed[LOANS];      /* the borrower has the token */
bool confirm[LOANS];    /* a confirmation is under way */
bool unused[LOANS];     /* what it says */
bool lapsed_at_borrower[LOANS];
byte nonce;
byte on_loan;           /* tokens on the holder's books as lent */
byte refilled;          /* in the interval that is watched */
byte refills = 2;

proctype Borrower ()
{
  byte mine;

  do
  :: /* ask */
     atomic { nonce < LOANS -> mine = nonce; nonce = nonce + 1;
              asked[mine] = true }
  :: /* take_loan */
     atomic { answer[mine] && !lapsed_at_borrower[mine] && !borrowed[mine] ->
              answer[mine] = false; borrowed[mine] = true }
  :: /* take_borrowed: only within TOKEN_BUCKET_LOAN_MS of the question */
     atomic { borrowed[mine] && MAY_USE (mine) ->
              used = used + 1;
              assert (used <= CAPACITY + refilled);
              borrowed[mine] = false; unused[mine] = false;
              confirm[mine] = true }
  :: /* return_borrowed */
     atomic { borrowed[mine] && !lapsed_at_borrower[mine] ->
              borrowed[mine] = false; unused[mine] = true;
              confirm[mine] = true }
  :: /* TOKEN_BUCKET_LOAN_MS have passed since the question */
     atomic { asked[mine] -> lapsed_at_borrower[mine] = true }
  od
}

/* The slot's holder.  Questions and confirmations may come twice or never.  */
proctype Holder ()
{
  byte n;

  do
  :: /* token_bucket_take */
     atomic { level > 0 -> level = level - 1; used = used + 1;
              assert (used <= CAPACITY + refilled) }
  :: /* accrue, clamp_level */
     atomic { refills > 0 && level + on_loan < CAPACITY ->
              refills = refills - 1; level = level + 1;
              refilled = refilled + 1 }
  :: /* token_bucket_lend */
     atomic {
       select (n : 0 .. (LOANS - 1));
       if
#ifdef FAULT_REPEAT_LENDS_AGAIN
       :: asked[n] && level > 0 ->
            level = level - 1; lent[n] = true; answer[n] = true;
            on_loan = on_loan + 1
#else
       :: asked[n] && !was_lent[n] && level > 0 ->
#ifndef FAULT_CREDIT_FIRST
            level = level - 1;
#endif
            lent[n] = true; was_lent[n] = true; answer[n] = true;
            on_loan = on_loan + 1
       :: asked[n] && lent[n] -> skip  /* the same loan, told again */
#endif
       :: else -> skip
       fi
     }
  :: /* limit_confirm */
     atomic {
       select (n : 0 .. (LOANS - 1));
       if
       :: confirm[n] && lent[n] ->
#ifndef FAULT_CONFIRM_TWICE
            lent[n] = false; on_loan = on_loan - 1;
#endif
            if
            :: unused[n] -> level = level + 1
            :: else -> skip
            fi
       :: else -> skip
       fi
     }
  :: /* TOKEN_BUCKET_LOAN_EXPIRY_MS: longer than the borrower's time, so that it has
        lapsed there before; counted as spent */
     atomic {
       select (n : 0 .. (LOANS - 1));
       if
       :: lent[n] && lapsed_at_borrower[n] ->
            lent[n] = false; on_loan = on_loan - 1
       :: else -> skip
       fi
     }
  od
}

/* Begins to watch at any moment.  */
proctype Observer ()
{
  atomic { used = 0; refilled = 0 }
}

init
{
  atomic { run Borrower (); run Borrower (); run Holder ();
           run Observer () }
}
