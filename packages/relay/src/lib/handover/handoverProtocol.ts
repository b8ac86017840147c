import * as z from 'zod';

/** Contains the version of the format. */
export const HANDOVER_PATH = '/handover/v1';

/** Asks the process that holds the ports of a daemon to release them. */
export const RELEASE_PATH = `${HANDOVER_PATH}/release`;

/** Names the daemon that asks. A daemon releases its ports only to its own successor. */
export const DAEMON_HEADER = 'x-daemon';

/** The process that holds the ports. */
export const holderSchema = z.object({
  daemon: z.string(),
  pid: z.int(),
  /** Whether it shuts down, and releases its ports as soon as it needs them no more. */
  isReleasing: z.boolean(),
});

/** What the process that holds the ports of a daemon states. */
export type HolderStatement = z.infer<typeof holderSchema>;
