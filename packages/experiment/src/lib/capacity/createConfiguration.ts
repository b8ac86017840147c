import { ServiceKind } from '@apricotrill/model';
import type { Configuration, Replica, Service, Workspace } from '@apricotrill/model';
import { getHashHex } from '@apricotrill/utils';
import { twoYearSize } from './twoYearSize.js';

/** How large a configuration to make. */
export interface ConfigurationSize {
  replicas: number;
  workspaces: number;
  models: number;
  availabilityZones: number;
}

const SLOTS = 16;

const HASHES_PER_KEY = 4;

function createRange<Value>(count: number, create: (index: number) => Value): Value[] {
  return Array.from({ length: count }, (_, index) => create(index));
}

function createService(index: number): Service {
  return {
    name: `model-${index}`,
    kind: ServiceKind.Model,
    region: `region-${index % twoYearSize.regions}`,
    models: [`model-${index}`],
    costPerThousandTokens: 0.4,
    costPerRequest: 0,
  };
}

function createReplica(index: number, { models, availabilityZones }: ConfigurationSize): Replica {
  const model = index % models;
  return {
    id: `model-${model}-replica-${index}`,
    service: `model-${model}`,
    availabilityZone: `zone-${index % availabilityZones}`,
    host: '127.0.0.1',
    port: 1024 + index,
    slots: SLOTS,
    checksFencing: index % 2 === 0,
    placement: [`model-${model}@3`],
  };
}

function createWorkspace(index: number): Workspace {
  const hash = createRange(HASHES_PER_KEY, (part) => getHashHex(`${index}/${part}`)).join('');
  return { name: `workspace-${index}`, apiKeyHashes: [hash], weight: 1 + (index % 4) };
}

/**
 * A configuration of any size, in the shape that operators write.
 *
 * @example
 * ```ts
 * const configuration = createConfiguration(twoYearSize);
 * ```
 * @internal
 */
export function createConfiguration(size: ConfigurationSize): Configuration {
  const classes = createRange(twoYearSize.tiers, (tier) => ({
    name: `class-${tier}`,
    tier,
    target: { firstToken: 1_500, tokenGap: 55 },
    deadline: 10_000,
    floor: 0.1,
    preemptible: tier > 3,
    repeatable: true,
  }));
  return {
    register: {
      services: createRange(size.models, createService),
      replicas: createRange(size.replicas, (index) => createReplica(index, size)),
      workspaces: createRange(size.workspaces, createWorkspace),
    },
    rules: {
      classes,
      classRules: createRange(size.models, (index) => ({
        service: `model-${index}`,
        class: `class-${index % twoYearSize.tiers}`,
      })),
    },
  };
}
