import type { ConfigurationSnapshot } from '@apricotrill/configuration';
import type { Instance, StoreChange } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClusterEvent } from './ClusterEvent.js';
import type { PeerResponse, PeerRequest, ServiceLoad } from './messages.js';

/** Input of the core: messages from peers, results of its calls, and requests of its host. */
export type CoreMessage =
  | { kind: 'request'; requestId: number; from: string; request: PeerRequest }
  | { kind: 'answer'; callId: number; response: PeerResponse }
  | { kind: 'call-failed'; callId: number }
  | { kind: 'watch-completed'; watchId: number; changes: StoreChange[] }
  | { kind: 'watch-failed'; watchId: number }
  /** `text` is undefined if the store holds no manifest. */
  | { kind: 'manifest-read'; text: string | undefined; version: number }
  | { kind: 'manifest-read-failed' }
  | { kind: 'parts-read'; readId: number; parts: ReadonlyMap<string, string> }
  | { kind: 'parts-read-failed'; readId: number }
  | { kind: 'instances-read'; instances: Instance[] }
  | { kind: 'instances-read-failed' }
  | { kind: 'announce-leaving' }
  | { kind: 'announce-replica-leaving'; replica: string }
  | { kind: 'publish-load'; services: readonly ServiceLoad[] };

/** Output of the core: what its host is to carry out. */
export type CoreEffect =
  | {
      kind: 'call';
      callId: number;
      address: string;
      request: PeerRequest;
      timeout: Milliseconds;
    }
  | { kind: 'reply'; requestId: number; response: PeerResponse }
  | { kind: 'start-watch'; watchId: number; afterVersion: number }
  | { kind: 'end-watch'; watchId: number }
  | { kind: 'read-manifest' }
  | { kind: 'read-parts'; readId: number; hashes: string[] }
  | { kind: 'read-instances' }
  /** The member list has changed. */
  | { kind: 'members' }
  | { kind: 'configuration'; snapshot: ConfigurationSnapshot }
  | { kind: 'replica-leaving'; replica: string; remaining: Milliseconds }
  | { kind: 'decision'; event: ClusterEvent };

/** Receives the effects that the core emits. */
export type EmitEffect = (effect: CoreEffect) => void;
