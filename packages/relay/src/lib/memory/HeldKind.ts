/** What a daemon holds bytes of. */
export enum HeldKind {
  /** Sockets and state of an open request. */
  Request = 'request',
  /** Bodies, from their announcement until their request is done. */
  RequestBody = 'request-body',
  /** Plain responses, until their caller has received them. */
  Response = 'response',
  /** Parts of streams that their callers have not read yet. */
  Stream = 'stream',
}
