/* Unit of the rate limits' token counts. */
#ifndef GALENA_POLICY_UTOKENS_H
#define GALENA_POLICY_UTOKENS_H

enum
{
  UTOKENS_PER_TOKEN = 1000000, /* utokens: millionths of a token */
};

#endif
