import type { Milliseconds } from '@apricotrill/utils';
import type { ChosenReplica } from '../chooseReplica.js';
import type { AdmissionClaim, PlacementCriteria } from '../messages.js';

/** A request of any daemon that asks the placer of a replica group to begin. */
export interface Applicant {
  /** Unique among the applicants of this placer. */
  id: string;
  criteria: PlacementCriteria;
  /** Empty if the caller needs no workspace. */
  workspace: AdmissionClaim['workspace'];
  fingerprint: AdmissionClaim['fingerprint'];
  /** When it arrived at its daemon, by the clock of this placer. */
  arrivedAt: Milliseconds;
  /** When its caller or its route stops waiting, by the clock of this placer. */
  deadline: Milliseconds;
  /** Availability zone of its daemon; empty if zones are not considered. */
  availabilityZone: string;
  /** IDs of replicas that must not be chosen. */
  excludedReplicas: ReadonlySet<string>;
}

/** Why a request is refused before it runs. */
export enum RefusalReason {
  /** Its first token would be late at every engine that it may go to. */
  Late = 'late',
  /** More urgent requests, or those of workspaces that use less than their share, take its place. */
  Displaced = 'displaced',
  /** An unexpected error keeps it from being decided. */
  Failed = 'failed',
}

/** What the placer decides about an applicant. Each applicant begins, is refused or withdraws once. */
export type AdmissionDecision =
  | { kind: 'begin'; applicant: Applicant; chosen: ChosenReplica }
  | { kind: 'wait'; applicant: Applicant; expectedWait: Milliseconds }
  | {
      kind: 'refuse';
      applicant: Applicant;
      reason: RefusalReason;
      retryAfter: Milliseconds;
      /** When its first token was expected, after `arrivedAt`. */
      expected: Milliseconds;
    };
