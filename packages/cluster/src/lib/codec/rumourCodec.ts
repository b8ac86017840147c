import { exhaustiveSwitchError } from '@apricotrill/utils';
import { z } from 'zod';
import type { MemberRecord } from '../Member.js';
import { MemberState } from '../Member.js';
import type { ReplicaNotice, Rumour, ServiceLoad } from '../messages.js';

/**
 * Rumours as arrays: the names of their fields would take more bytes than what they say. The place
 * in {@link STATES} and the numbers in {@link RumourTag} are part of the protocol.
 */

const STATES = [MemberState.Alive, MemberState.Suspect, MemberState.Leaving, MemberState.Dead];

enum RumourTag {
  Member = 0,
  Verdict = 1,
  ReplicaLeaving = 2,
  ZoneLoad = 3,
}

const MAX_NAME = 256;
const MAX_PORT = 65535;

const name = z.string().min(1).max(MAX_NAME);
export const count = z.int().min(0);
const port = count.max(MAX_PORT);
const state = z
  .int()
  .min(0)
  .max(STATES.length - 1)
  .transform((index) => STATES[index]!);

export const recordSchema = z
  .tuple([name, count, count, state, name, name, name, port, port, port])
  .transform(
    ([id, incarnation, refutation, memberState, region, availabilityZone, host, ...ports]) => {
      const [callerPort, meshPort, adminPort] = ports;
      const place = { region, availabilityZone, host, port: callerPort, meshPort, adminPort };
      return { id, incarnation, refutation, state: memberState, ...place };
    },
  );

const verdictState = state.pipe(z.enum([MemberState.Suspect, MemberState.Dead]));

const verdictSchema = z
  .tuple([name, count, count, verdictState])
  .transform(([id, incarnation, refutation, verdict]) => ({
    id,
    incarnation,
    refutation,
    state: verdict,
  }));

export const noticeSchema = z
  .tuple([name, count])
  .transform(([replica, remaining]) => ({ replica, remaining }));

export const servicesSchema = z.array(
  z
    .tuple([name, count, count, count])
    .transform(([service, running, waiting, refused]) => ({ service, running, waiting, refused })),
);

const reportSchema = z
  .tuple([name, count, count, servicesSchema])
  .transform(([availabilityZone, version, daemons, services]) => ({
    availabilityZone,
    version,
    daemons,
    services,
  }));

const rumourSchema = z.union([
  z
    .tuple([z.literal(RumourTag.Member), recordSchema])
    .transform(([, record]) => ({ kind: 'member' as const, record })),
  z
    .tuple([z.literal(RumourTag.Verdict), verdictSchema])
    .transform(([, verdict]) => ({ kind: 'verdict' as const, verdict })),
  z
    .tuple([z.literal(RumourTag.ReplicaLeaving), noticeSchema])
    .transform(([, notice]) => ({ kind: 'replica-leaving' as const, notice })),
  z
    .tuple([z.literal(RumourTag.ZoneLoad), reportSchema])
    .transform(([, report]) => ({ kind: 'zone-load' as const, report })),
]);

export const rumoursSchema = z.array(rumourSchema);

export function encodeRecord(record: MemberRecord): unknown[] {
  const { id, incarnation, refutation, region, availabilityZone, host } = record;
  const place = [region, availabilityZone, host, record.port, record.meshPort, record.adminPort];
  return [id, incarnation, refutation, STATES.indexOf(record.state), ...place];
}

export function encodeNotice({ replica, remaining }: ReplicaNotice): unknown[] {
  return [replica, remaining];
}

export function encodeServices(services: readonly ServiceLoad[]): unknown[] {
  return services.map(({ service, running, waiting, refused }) => [
    service,
    running,
    waiting,
    refused,
  ]);
}

export function encodeRumour(rumour: Rumour): unknown[] {
  switch (rumour.kind) {
    case 'member':
      return [RumourTag.Member, encodeRecord(rumour.record)];
    case 'verdict': {
      const { id, incarnation, refutation } = rumour.verdict;
      const stateIndex = STATES.indexOf(rumour.verdict.state);
      return [RumourTag.Verdict, [id, incarnation, refutation, stateIndex]];
    }
    case 'replica-leaving':
      return [RumourTag.ReplicaLeaving, encodeNotice(rumour.notice)];
    case 'zone-load': {
      const { availabilityZone, version, daemons, services } = rumour.report;
      const sums = encodeServices(services);
      return [RumourTag.ZoneLoad, [availabilityZone, version, daemons, sums]];
    }
    default:
      throw exhaustiveSwitchError(rumour);
  }
}
