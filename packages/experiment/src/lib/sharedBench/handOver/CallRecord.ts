import type { Milliseconds } from '@apricotrill/utils';

/** What callers ask for. */
export enum CallKind {
  /** Of an artwork's status; may be repeated. */
  Check = 'check',
  /** May not be repeated; has an Idempotency-Key. */
  Hold = 'hold',
  /** A hold that its caller asks for again with the same key, after its answer. */
  HoldAgain = 'hold again',
  /** A streamed chat. */
  Chat = 'chat',
}

/** How a call ended for its caller. */
export type CallEnd =
  | {
      kind: 'answered';
      /** False for an answer to another request, or one with a token missing, doubled or wrong. */
      isOwn: boolean;
      /** The run at a plain service that the answer is from. */
      run?: string;
      /** Of a chat. */
      tokens?: number;
    }
  | { kind: 'refused'; status: number; outcome: string; reason: string }
  /** An answer began and did not come to its end. */
  | { kind: 'cut'; error: string }
  /** There was no answer at all. */
  | { kind: 'lost'; error: string };

/** One call as its caller saw it. */
export interface CallRecord {
  kind: CallKind;
  /** The Idempotency-Key, where there is one. */
  key?: string;
  /** As the daemon named the request; absent when no answer came. */
  requestId?: string;
  startedAt: Milliseconds;
  span: Milliseconds;
  end: CallEnd;
}
