import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../config/RelayConfiguration.js';
import type { PlacementMessage } from '../decide/messages.js';
import type { ReplicaNotice } from '../protocol/RelayProtocol.js';

/** What a replica announced in a response to a call that is not a caller's request. */
export interface ReceivedNotice {
  replica: RelayReplica;
  /** The kind of response. */
  source: string;
  notice: ReplicaNotice;
  receivedAt: Milliseconds;
}

/** Tells the placement core what a replica announced. */
export function applyNotice(
  { replica: { id }, source, notice, receivedAt }: ReceivedNotice,
  dispatch: (message: PlacementMessage) => void,
): void {
  const { isLeaving, backoff, threshold, load } = notice;
  if (load?.slowdown !== undefined) {
    dispatch({ kind: 'load', replica: id, report: load });
  }
  if (threshold !== undefined) {
    dispatch({ kind: 'threshold', replica: id, sentAt: receivedAt, threshold });
  }
  if (backoff?.kind === 'span') {
    dispatch({ kind: 'backoff', replica: id, span: backoff.span, source });
  }
  if (isLeaving) {
    dispatch({ kind: 'leaving', replica: id, source });
  }
}
