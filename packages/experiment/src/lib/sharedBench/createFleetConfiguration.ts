import type { Configuration, Replica, ServiceKind } from '@apricotrill/model';

/** Where a backend server listens. */
export interface BackendAddress {
  host: string;
  port: number;
}

/** Stays under the highest weight that a register may give. */
const WEIGHTS = 900;

/**
 * The replicas of a configuration that have a backend server here, with its address.
 *
 * @param example - a configuration with as many replicas of each kind, or more
 * @param backends - where the backend servers of each kind of service listen
 * @internal
 */
export function createFleetConfiguration(
  example: Configuration,
  backends: ReadonlyMap<ServiceKind, BackendAddress[]>,
): Configuration {
  const { services, replicas } = example.register;
  const left = new Map([...backends].map(([kind, addresses]) => [kind, [...addresses]]));
  const placed = replicas.flatMap((replica): Replica[] => {
    const kind = services.find(({ name }) => name === replica.service)?.kind;
    const address = kind && left.get(kind)?.shift();
    return address ? [{ ...replica, host: address.host, port: address.port }] : [];
  });
  return { ...example, register: { ...example.register, replicas: placed } };
}

/**
 * An edit as operators make most: the weight of one workspace. Each turn's differs from those
 * before it.
 *
 * @internal
 */
export function editWeight(configuration: Configuration, turn: number): Configuration {
  const { workspaces } = configuration.register;
  const edited = workspaces.map((workspace, index) =>
    index === turn % workspaces.length ? { ...workspace, weight: 1 + (turn % WEIGHTS) } : workspace,
  );
  return { ...configuration, register: { ...configuration.register, workspaces: edited } };
}
