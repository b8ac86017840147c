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
 * The usage to report, as kept in the store. The counts of an entry never change, so every holder
 * reports the same usage for a window.
 *
 * @public
 */
export type UsageLedger = z.infer<typeof ledgerSchema>;

/** The usage to report for one window. */
export type UsageEntry = UsageLedger['entries'][number];

/** @throws ZodError or SyntaxError when the text is not a valid ledger */
export function parseLedger(text: string): UsageLedger {
  return ledgerSchema.parse(JSON.parse(text));
}
