/* Models token loans from one slot's bucket to hosts without tokens.

   Over any interval at most CAPACITY tokens plus the refilled ones are used,
   even if messages are lost (never received), repeated or delayed.
   model/README.md maps the steps to the C functions.

   Faults that must be detected: -DFAULT_CREDIT_FIRST, -DFAULT_NO_LAPSE_AT_BORROWER,
   -DFAULT_REPEAT_LENDS_AGAIN, -DFAULT_CONFIRM_TWICE.  */

#define CAPACITY 2
#define LOANS 3   /* nonces */

#ifdef FAULT_NO_LAPSE_AT_BORROWER
#define MAY_USE(loan) true
#else
#define MAY_USE(loan) (!expired_at_borrower[loan])
#endif

byte level = CAPACITY;        /* the holder's bucket */
byte used;                    /* tokens that admitted a request */
bool asked[LOANS];
bool lent[LOANS];             /* the holder has recorded the loan */
bool was_lent[LOANS];
bool answer[LOANS];           /* an answer with one token is in flight */
bool borrowed[LOANS];         /* the borrower has the token */
bool confirm[LOANS];          /* a confirmation is in flight */
bool unused[LOANS];           /* the confirmation returns the token */
bool expired_at_borrower[LOANS];
byte nonce;
byte on_loan;                 /* tokens that the holder has recorded as lent */
byte refilled;                /* in the observed interval */
byte refills = 2;

proctype Borrower ()
{
  byte loan_nonce;

  do
  :: /* send_ask */
     atomic { nonce < LOANS -> loan_nonce = nonce; nonce = nonce + 1;
              asked[loan_nonce] = true }
  :: /* handle_loan */
     atomic { answer[loan_nonce] && !expired_at_borrower[loan_nonce] &&
              !borrowed[loan_nonce] ->
              answer[loan_nonce] = false; borrowed[loan_nonce] = true }
  :: /* take_borrowed_token: only within TOKEN_BUCKET_LOAN_MS of the request */
     atomic { borrowed[loan_nonce] && MAY_USE (loan_nonce) ->
              used = used + 1;
              assert (used <= CAPACITY + refilled);
              borrowed[loan_nonce] = false; unused[loan_nonce] = false;
              confirm[loan_nonce] = true }
  :: /* return_borrowed */
     atomic { borrowed[loan_nonce] && !expired_at_borrower[loan_nonce] ->
              borrowed[loan_nonce] = false; unused[loan_nonce] = true;
              confirm[loan_nonce] = true }
  :: /* TOKEN_BUCKET_LOAN_MS have passed since the request */
     atomic { asked[loan_nonce] -> expired_at_borrower[loan_nonce] = true }
  od
}

/* The slot's holder.  Requests and confirmations may be repeated or lost.  */
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
       :: asked[n] && lent[n] -> skip  /* repeats the answer */
#endif
       :: else -> skip
       fi
     }
  :: /* token_bucket_confirm */
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
  :: /* remove_expired: TOKEN_BUCKET_LOAN_EXPIRY_MS exceeds the borrower's limit,
        so the loan has expired there before; the token counts as spent */
     atomic {
       select (n : 0 .. (LOANS - 1));
       if
       :: lent[n] && expired_at_borrower[n] ->
            lent[n] = false; on_loan = on_loan - 1
       :: else -> skip
       fi
     }
  od
}

/* Starts the observed interval at an arbitrary time.  */
proctype Observer ()
{
  atomic { used = 0; refilled = 0 }
}

init
{
  atomic { run Borrower (); run Borrower (); run Holder ();
           run Observer () }
}
