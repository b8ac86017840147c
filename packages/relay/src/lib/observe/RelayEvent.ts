import type { ConnectionCounts } from '@apricotrill/callers';
import type { DutyEvent } from '@apricotrill/duties';
import type { LifecycleEvent } from '@apricotrill/lifecycle';
import type { Milliseconds } from '@apricotrill/utils';
import type { AdmissionRecord } from '../decide/admission/AdmissionRecord.js';
import type {
  AttemptEnd,
  CancelReason,
  KeepReason,
  Choice,
  GiveUpReason,
  Outcome,
  ProbeResult,
  LoadReport,
} from '../decide/messages.js';
import type { KnownGroupLoad } from '../decide/groups/GroupLoads/GroupLoads.js';
import type { GroupReason } from '../decide/groups/GroupReason.js';
import type { ResponseFraming } from '../framing/getResponseFraming.js';
import type { ForwardingResult } from '../forwarding/forwardingProtocol.js';
import type { ConnectionFailure } from '../paths/ConnectionFailure.js';
import type { RequestedBackoff } from '../protocol/RelayProtocol.js';
import type { UnreadableKind } from '../protocol/UnreadableField.js';
import type { VersionSource } from '../streams/StreamVersionExchange/StreamVersionExchange.js';
import type { EndEvidence } from '../upstream/EndConfirmation/EndEvidence.js';
import type { ResponseEnd } from '../request/CallerResponse.js';

/**
 * The events in the log: decisions about requests, changes of the daemon's view of its environment, and
 * steps of its life cycle.
 *
 * @public
 */
export type RelayEvent =
  | DutyEvent
  | LifecycleEvent
  | { event: 'duties-refused'; reason: string }
  | {
      event: 'settings-defaulted';
      field: string;
      reason: string;
      /** What is used instead of the value that is stated. */
      used: number | boolean | 'none';
    }
  | { event: 'start'; daemon: string; availabilityZone: string; pid: number }
  | { event: 'listening'; callers: string; status: string }
  | { event: 'reload'; changed: string[] }
  | { event: 'stopping'; signal: string; open: number }
  | ({ event: 'port-closed'; after: Milliseconds } & ConnectionCounts)
  | { event: 'ports-requested' | 'ports-released' }
  | { event: 'stopped'; after: Milliseconds; cutOff: number }
  | { event: 'fault'; id?: string; step: string; error: string }
  | { event: 'dependency-lost'; dependency: string; error: string }
  | { event: 'dependency-regained'; dependency: string; after: Milliseconds }
  | {
      event: 'store-era';
      dependency: string;
      era: number;
      previous: number | undefined;
      knownRevision: number | undefined;
    }
  | { event: 'memory-bound'; limit: number; own: number; budget: number; heap: number }
  | {
      event: 'memory-full' | 'memory-available';
      held: number;
      heap: number;
      /** Resident memory; undefined if the memory of the process is not bounded. */
      rss: number | undefined;
    }
  | {
      event: 'memory-pressure' | 'memory-relieved';
      rss: number;
      limit: number;
      held: number;
      heap: number;
    }
  | { event: 'reader'; dependency: string; reader: string; previous: string }
  | { event: 'reader-failed'; dependency: string; reader: string; error: string }
  | { event: 'reader-overtaken'; dependency: string; reader: string }
  | {
      event: 'watch-aborted';
      dependency: string;
      /** Time since it last received something. */
      silence: Milliseconds;
      /** Revision that this daemon knows, and the one that another daemon has announced. */
      known: number;
      announced: number;
    }
  | {
      event: 'slow-read';
      dependency: string;
      /** The store, or the ID of a reader. */
      source: string;
      after: Milliseconds;
      wait: Milliseconds;
    }
  | {
      event: 'configuration';
      version: number;
      previous: number | undefined;
      routes: number;
      /** Time since the version was the current one in the store. */
      age: Milliseconds;
    }
  | { event: 'configuration-refused'; version: unknown; reason: string }
  | {
      event: 'unreadable';
      kind: UnreadableKind;
      source: string;
      text: string;
      /** Statements of this kind since the last line. */
      count: number;
    }
  | { event: 'entry-refused'; object: string; name: string; reason: string }
  | {
      event: 'replica-added';
      replica: string;
      service: string;
      softwareVersion: string;
      address: string;
      revision: number;
    }
  | { event: 'replica-draining'; replica: string; service: string; revision: number }
  | {
      event: 'replica-notice';
      id: string;
      attempt: number;
      replica: string;
      isLeaving: boolean;
      backoff: RequestedBackoff | undefined;
    }
  | { event: 'replica-leaving'; replica: string; source: string }
  | { event: 'replica-backed-off'; replica: string; span: Milliseconds; source: string }
  | {
      event: 'connections-failing';
      replica: string;
      service: string;
      failure: ConnectionFailure;
      error: string;
      /** Time since any replica last sent something to this daemon. */
      silence: Milliseconds;
      /** Replicas to which the last connection could not be opened, of all that are listed. */
      failing: number;
      listed: number;
    }
  | { event: 'path-lost'; replica: string; service: string; failure: ConnectionFailure }
  | { event: 'path-restored'; replica: string; service: string; after: Milliseconds }
  | { event: 'isolated'; lost: number; listed: number; silence: Milliseconds }
  | { event: 'isolation-ended'; after: Milliseconds }
  | { event: 'peer-isolated'; peer: string; isIsolated: boolean }
  | { event: 'overloaded' | 'overload-ended'; iteration: Milliseconds }
  | {
      event: 'connections-refused';
      count: number;
      /** Time since the first of them. */
      span: Milliseconds;
    }
  | {
      event: 'attempt-forwarded';
      id: string;
      attempt: number;
      replica: string;
      forwarder: string;
      /** Why it could not be sent directly; undefined if the path was known to be lost. */
      cause: string | undefined;
    }
  | {
      event: 'forwarder-refused';
      id: string;
      attempt: number;
      forwarder: string;
      /** Undefined if the other daemon does not support forwarding. */
      result: ForwardingResult | undefined;
    }
  | { event: 'forwarder-failed'; id: string; attempt: number; forwarder: string; error: string }
  | {
      event: 'forwarded';
      replica: string;
      result: ForwardingResult;
      after: Milliseconds;
      detail: string | undefined;
    }
  | {
      event: 'replica-probed';
      replica: string;
      service: string;
      /** Whether it accepts connections of this daemon; undefined if it didn't answer. */
      own: boolean | undefined;
      /** The daemons that were asked, and what each of them observed. */
      asked: string[];
      answers: (boolean | undefined)[];
      /** What this daemon observes after another one has reached the replica. */
      again: boolean | undefined;
      result: ProbeResult;
      /** Duration of this daemon's own check, before others were asked. */
      ownAfter: Milliseconds;
      after: Milliseconds;
    }
  | { event: 'connections-restored'; replica: string; service: string; after: Milliseconds }
  | { event: 'replica-removed'; replica: string; service: string; revision: number }
  | { event: 'replica-kept'; replica: string; until: Milliseconds; reason: string }
  | { event: 'replica-questioned'; replica: string; service: string }
  | { event: 'replica-suspect'; replica: string; service: string; reason: string }
  | { event: 'replica-trusted'; replica: string; service: string }
  | { event: 'replica-avoided'; replica: string; service: string; span: Milliseconds }
  | { event: 'replica-crashed'; replica: string; suspects: number; fingerprints: readonly string[] }
  | {
      event: 'request-quarantined' | 'part-quarantined';
      fingerprint: string;
      replicas: string[];
      isOwn: boolean;
    }
  | { event: 'request-released' | 'part-released'; fingerprint: string; isOwn: boolean }
  | { event: 'part-tried'; fingerprint: string }
  | {
      event: 'replica-limited';
      replica: string;
      /** Requests per second from all daemons together. */
      perSecond: number;
      previous: number | undefined;
    }
  | { event: 'replica-unlimited'; replica: string }
  | { event: 'replica-fragile'; replica: string; threshold: number }
  | { event: 'replica-robust'; replica: string }
  | { event: 'threshold-refused'; replica: string; text: string }
  | {
      event: 'turned-away';
      replica: string;
      threshold: number;
      inFlight: number;
      reported: LoadReport | undefined;
    }
  | { event: 'replica-held'; replica: string; rejections: number; span: Milliseconds }
  | { event: 'limit-refused'; replica: string; text: string }
  | { event: 'placed-for'; peer: string; key: string; replica: string; choice: Choice }
  | ({ event: 'admission-decided' } & AdmissionRecord)
  | {
      event: 'queued';
      id: string;
      key: string;
      placer: string;
      waited: Milliseconds;
      expectedWait: Milliseconds;
    }
  | {
      event: 'not-admitted';
      id: string;
      /** Undefined if no placer responded. */
      key: string | undefined;
      placer: string | undefined;
      waited: Milliseconds;
      retryAfter: Milliseconds | undefined;
    }
  | {
      event: 'sent-elsewhere';
      id: string;
      group: string;
      home: string;
      reason: GroupReason;
      /** The load of the group, with its age; absent if unknown. */
      load?: KnownGroupLoad;
      homeLoad?: KnownGroupLoad;
    }
  | {
      event: 'placer-silent';
      peer: string;
      span: Milliseconds;
      lastResponseAge: Milliseconds | undefined;
      pending: number;
    }
  | { event: 'response-unused'; peer: string; key: string }
  | { event: 'peer-found'; peer: string; address: string }
  | { event: 'peer-lost'; peer: string }
  | { event: 'cache-listed'; replica: string; parts: number; reason: string }
  | {
      event: 'admitted';
      id: string;
      /** Identical for repeated requests with the same content from the same caller. */
      fingerprint: string;
      route: string;
      service: string;
      workspace: string;
      routePriority: number;
      workspacePriority: number | undefined;
      promptTokens: number | undefined;
      /** IDs of the first parts of the prompt. */
      promptParts: string[] | undefined;
      /** Urgency among the requests of its service; 0 is the most urgent. */
      rank: number;
      timeLeft: Milliseconds;
      /** The last event and the first request of a stream that the caller resumes. */
      resumeAfter: string | undefined;
      resumes: string | undefined;
      version: number;
    }
  | {
      event: 'rejected';
      id: string;
      status: number;
      reason: string;
      version: number | undefined;
      /** Time since that version was the current one in the store, if that may be the reason. */
      age?: Milliseconds;
    }
  | { event: 'sent'; id: string; attempt: number; replica: string; service: string; choice: Choice }
  | {
      event: 'first-byte';
      id: string;
      attempt: number;
      replica: string;
      softwareVersion: string;
      /** How the end of the response is determined. */
      framing: ResponseFraming;
      after: Milliseconds;
    }
  | {
      event: 'end-checked';
      replica: string;
      service: string;
      /** What shows whether the replica still runs. */
      evidence: EndEvidence;
      after: Milliseconds;
    }
  | {
      event: 'attempt-ended';
      id: string;
      attempt: number;
      replica: string;
      end: AttemptEnd;
      status: number | undefined;
      after: Milliseconds;
      /** How the end of the response is determined; undefined if no head was received. */
      framing: ResponseFraming | undefined;
      /** Size of the body as received. */
      bodyBytes: number;
      /** Bytes of a stream after its last complete event. */
      incompleteBytes: number;
      detail: string | undefined;
    }
  | {
      event: 'attempt-kept';
      id: string;
      attempt: number;
      /** Why it was to be replaced by another attempt. */
      reason: CancelReason;
      because: KeepReason;
    }
  | {
      event: 'cancelled';
      id: string;
      attempt: number;
      reason: CancelReason;
      /** Whether the caller has received a part of the response. */
      hasBegun: boolean;
      /** Time since the replica last sent something over a direct connection; 0 if there is none. */
      silence: Milliseconds;
    }
  | {
      event: 'given-up';
      id: string;
      outcome: Outcome;
      reason: GiveUpReason;
      status: number;
      retryAfter: Milliseconds | undefined;
      /** ID of the quarantined part of its prompt. */
      part: string | undefined;
      after: Milliseconds;
    }
  | { event: 'streams-loaded'; streams: number }
  | { event: 'versions-mixed'; service: string; versions: string[]; streams: number }
  | {
      event: 'stream-returned';
      id: string;
      resumes: string | undefined;
      source: VersionSource | 'unknown';
      softwareVersion: string | undefined;
      after: Milliseconds;
    }
  | { event: 'caller-left'; id: string; after: Milliseconds }
  | {
      event: 'answered';
      id: string;
      status: number;
      /** What the caller can tell of the end of the response. */
      end: ResponseEnd;
      replica: string;
      attempts: number;
      after: Milliseconds;
      /** From the arrival of the request to the first byte that was forwarded. */
      firstByte: Milliseconds | undefined;
      /** The longest pause between two events of the stream. */
      longestPause: Milliseconds | undefined;
    }
  | { event: 'lines-dropped'; lines: number };

/** Writes an event to the log, as one line. */
export type RelayLog = (event: RelayEvent) => void;
