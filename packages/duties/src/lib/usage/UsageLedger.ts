import * as z from 'zod';

const ledgerSchema = z.object({
  entries: z.array(
    z.object({
      window: z.int().nonnegative(),
      counts: z.record(z.string(), z.int().nonnegative()),
      isReported: z.boolean(),
    }),
  ),
});

/**
 * What was decided to be reported, as it lies at the store. An entry's counts never change: every
 * holder reports the same for a window.
 *
 * @public
 */
export type UsageLedger = z.infer<typeof ledgerSchema>;

/** What is reported for one window. */
export type UsageEntry = UsageLedger['entries'][number];

/** @throws ZodError or SyntaxError when the text is no ledger */
export function parseLedger(text: string): UsageLedger {
  return ledgerSchema.parse(JSON.parse(text));
}
