/**
 * What p-queue keeps in its queue: starts a task and settles when the task ends.
 *
 * @public
 */
export type RunFunction = () => Promise<unknown>;
