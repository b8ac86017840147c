import { z } from 'zod';

/** Schemas of single values that several keys share. */

const MAX_PORT = 65535;
/** Names are limited in length because they appear in store keys, headers and metric labels. */
const MAX_NAME_LENGTH = 64;
/** Maximum delay of a Node.js timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Describes a valid name, for the reference page and diagnostics. */
export const NAME_TYPE = `name of at most ${MAX_NAME_LENGTH} letters, digits, "-", "_" or "."`;

/** A name that is safe in store keys, headers and metric labels. */
export const name = () =>
  z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9_.-]*$/)
    .max(MAX_NAME_LENGTH);

/** An IP address; host names are not accepted, so that handling a request needs no DNS look-up. */
export const ipAddress = () => z.union([z.ipv4(), z.ipv6()]);

/** A port to connect to. */
export const port = () => z.int().min(1).max(MAX_PORT);

/** A port to listen on; 0 lets the operating system choose one. */
export const listeningPort = () => z.int().min(0).max(MAX_PORT);

/** A duration in whole milliseconds, at least one. */
export const durationMs = () => z.int().min(1).max(MAX_TIMER_MS);

/** A price, which cannot be negative. */
export const price = () => z.number().min(0);
