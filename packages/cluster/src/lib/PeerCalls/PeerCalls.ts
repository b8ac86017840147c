import type { Milliseconds } from '@apricotrill/utils';
import type { EmitEffect } from '../coreMessages.js';
import type { PeerResponse, PeerRequest } from '../messages.js';

/** Called with the response, or undefined if the call failed. */
export type ResponseListener = (response: PeerResponse | undefined) => void;

/** Tracks the core's calls to peers that are in flight. */
export class PeerCalls {
  private lastId = 0;

  private readonly pendingCalls = new Map<number, ResponseListener>();

  constructor(private readonly emit: EmitEffect) {}

  /** Starts a call. The listener is called at most once, with its result. */
  call(
    address: string,
    request: PeerRequest,
    timeout: Milliseconds,
    onResponse: ResponseListener = () => {},
  ): void {
    this.lastId += 1;
    const callId = this.lastId;
    this.pendingCalls.set(callId, onResponse);
    this.emit({ kind: 'call', callId, address, request, timeout });
  }

  /** Completes a call. A second result for the same call is dropped. */
  settle(callId: number, response: PeerResponse | undefined): void {
    const onResponse = this.pendingCalls.get(callId);
    this.pendingCalls.delete(callId);
    onResponse?.(response);
  }

  dispose(): void {
    this.pendingCalls.clear();
  }
}
