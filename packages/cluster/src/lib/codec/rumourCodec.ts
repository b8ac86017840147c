import { exhaustiveSwitchError } from '@apricotrill/utils';
import { z } from 'zod';
import type { MemberRecord } from '../Member.js';
import { MemberState } from '../Member.js';
import type { ReplicaNotice, Rumour, ServiceLoad } from '../messages.js';

/**
 * Encodes rumours as arrays: field names would take more bytes than the values. The order of
 * {@link STATES_BY_INDEX} and the numbers of {@link RumourTag} are part of the protocol.
 */

const STATES_BY_INDEX = [
  MemberState.Alive,
  MemberState.Suspect,
  MemberState.Leaving,
  MemberState.Dead,
];

enum RumourTag {
  Member = 0,
  MemberStateUpdate = 1,
  ReplicaLeaving = 2,
  ZoneLoad = 3,
}

const MAX_NAME_LENGTH = 256;
const MAX_PORT = 65535;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
export const countSchema = z.int().min(0);
const portSchema = countSchema.max(MAX_PORT);
const stateSchema = z
  .int()
  .min(0)
  .max(STATES_BY_INDEX.length - 1)
  .transform((index) => STATES_BY_INDEX[index]!);

export const recordSchema = z
  .tuple([
    nameSchema,
    countSchema,
    countSchema,
    stateSchema,
    nameSchema,
    nameSchema,
    nameSchema,
    portSchema,
    portSchema,
    portSchema,
  ])
  .transform(
    ([id, incarnation, refutation, memberState, region, availabilityZone, host, ...ports]) => {
      const [callerPort, meshPort, adminPort] = ports;
      const location = { region, availabilityZone, host, port: callerPort, meshPort, adminPort };
      return { id, incarnation, refutation, state: memberState, ...location };
    },
  );

const stateUpdateStateSchema = stateSchema.pipe(z.enum([MemberState.Suspect, MemberState.Dead]));

const stateUpdateSchema = z
  .tuple([nameSchema, countSchema, countSchema, stateUpdateStateSchema])
  .transform(([id, incarnation, refutation, memberState]) => ({
    id,
    incarnation,
    refutation,
    state: memberState,
  }));

export const noticeSchema = z
  .tuple([nameSchema, countSchema])
  .transform(([replica, remaining]) => ({ replica, remaining }));

export const servicesSchema = z.array(
  z
    .tuple([nameSchema, countSchema, countSchema, countSchema])
    .transform(([service, running, waiting, refused]) => ({ service, running, waiting, refused })),
);

const zoneLoadSchema = z
  .tuple([nameSchema, countSchema, countSchema, servicesSchema])
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
    .tuple([z.literal(RumourTag.MemberStateUpdate), stateUpdateSchema])
    .transform(([, update]) => ({ kind: 'member-state' as const, update })),
  z
    .tuple([z.literal(RumourTag.ReplicaLeaving), noticeSchema])
    .transform(([, notice]) => ({ kind: 'replica-leaving' as const, notice })),
  z
    .tuple([z.literal(RumourTag.ZoneLoad), zoneLoadSchema])
    .transform(([, report]) => ({ kind: 'zone-load' as const, report })),
]);

export const rumoursSchema = z.array(rumourSchema);

export function encodeRecord(record: MemberRecord): unknown[] {
  const { id, incarnation, refutation, region, availabilityZone, host } = record;
  const location = [region, availabilityZone, host, record.port, record.meshPort, record.adminPort];
  return [id, incarnation, refutation, STATES_BY_INDEX.indexOf(record.state), ...location];
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
    case 'member-state': {
      const { id, incarnation, refutation } = rumour.update;
      const stateIndex = STATES_BY_INDEX.indexOf(rumour.update.state);
      return [RumourTag.MemberStateUpdate, [id, incarnation, refutation, stateIndex]];
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
