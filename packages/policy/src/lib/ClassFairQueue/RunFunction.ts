/**
 * An entry of p-queue's queue: starts a task and settles when the task ends.
 *
 * @public
 */
export type RunFunction = () => Promise<unknown>;
