/** What a daemon holds bytes of. */
export enum HeldKind {
  /** Sockets and state of an open request. */
  Request = 'request',
  /** The parsed head of an open request, on the heap of the engine. */
  RequestHead = 'request-head',
  /** Bodies, from their announcement until their request is done. */
  RequestBody = 'request-body',
  /** Plain responses, until their caller has received them. */
  Response = 'response',
  /** Parts of streams that their callers have not read yet. */
  Stream = 'stream',
}

/** What counts toward the heap of the engine. */
export const HEAP_KINDS: ReadonlySet<HeldKind> = new Set([HeldKind.Request, HeldKind.RequestHead]);

/**
 * What counts toward the bound on the memory of the process. Heads do not: the growth of the heap is reserved
 * before that bound is set.
 */
export const PROCESS_KINDS: ReadonlySet<HeldKind> = new Set([
  HeldKind.Request,
  HeldKind.RequestBody,
  HeldKind.Response,
  HeldKind.Stream,
]);
