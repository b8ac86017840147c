import { z } from 'zod';

/** The shapes of single values that several keys share. */

const HIGHEST_PORT = 65535;
/** Longest name: it appears in store keys, headers and metric labels. */
const LONGEST_NAME = 64;
/** Longest span a timer of the run time can hold. */
const LONGEST_SPAN = 2 ** 31 - 1;

/** Says what a name may look like, for the reference page and refusals. */
export const NAME_FORM = `name of at most ${LONGEST_NAME} letters, digits, "-", "_" or "."`;

/** A name that is safe in store keys, headers and metric labels. */
export const name = () =>
  z
    .string()
    .regex(/^[A-Za-z0-9][A-Za-z0-9_.-]*$/)
    .max(LONGEST_NAME);

/** An IP number: nothing is looked up by name on the path of a request. */
export const ipAddress = () => z.union([z.ipv4(), z.ipv6()]);

/** A port that a peer can be reached at. */
export const port = () => z.int().min(1).max(HIGHEST_PORT);

/** A port to listen at; 0 lets the system choose one. */
export const listeningPort = () => z.int().min(0).max(HIGHEST_PORT);

/** A span in whole milliseconds, at least one. */
export const span = () => z.int().min(1).max(LONGEST_SPAN);

/** A price: never negative. */
export const price = () => z.number().min(0);
