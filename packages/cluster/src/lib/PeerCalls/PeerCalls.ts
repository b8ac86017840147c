import type { Milliseconds } from '@apricotrill/utils';
import type { EmitEffect } from '../coreMessages.js';
import type { PeerAnswer, PeerRequest } from '../messages.js';

/** Takes a call's answer, or undefined when none came. */
export type OnOutcome = (answer: PeerAnswer | undefined) => void;

/** The core's calls to peers that are on their way. */
export class PeerCalls {
  private lastId = 0;

  private readonly pending = new Map<number, OnOutcome>();

  constructor(private readonly emit: EmitEffect) {}

  /** Asks for a call; its outcome comes later, exactly once. */
  call(
    address: string,
    request: PeerRequest,
    timeout: Milliseconds,
    onOutcome: OnOutcome = () => {},
  ): void {
    this.lastId += 1;
    const callId = this.lastId;
    this.pending.set(callId, onOutcome);
    this.emit({ kind: 'call', callId, address, request, timeout });
  }

  /** Hands in an outcome; a second one for the same call is dropped. */
  settle(callId: number, answer: PeerAnswer | undefined): void {
    const onOutcome = this.pending.get(callId);
    this.pending.delete(callId);
    onOutcome?.(answer);
  }

  dispose(): void {
    this.pending.clear();
  }
}
