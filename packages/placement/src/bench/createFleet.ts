import { ServiceKind } from '@apricotrill/model';
import type { Configuration, Replica } from '@apricotrill/model';

const ZONES = 4;

function createReplica(index: number): Replica {
  return {
    id: `chat-${index}`,
    service: 'chat',
    availabilityZone: `zone-${index % ZONES}`,
    host: '127.0.0.1',
    port: 1,
    slots: 8,
    checksFencing: index % 2 === 0,
    placement: [],
  };
}

/**
 * Creates a configuration with one model service of the given size, for benchmarks.
 *
 * @internal
 */
export function createFleet(replicas: number, models: readonly string[]): Configuration {
  const service = {
    name: 'chat',
    kind: ServiceKind.Model,
    region: 'region-1',
    models: [...models],
    costPerThousandTokens: 1,
    costPerRequest: 0,
  };
  return {
    register: {
      services: [service],
      replicas: Array.from({ length: replicas }, (_, index) => createReplica(index)),
      workspaces: [],
    },
    rules: { classes: [], classRules: [] },
  };
}
