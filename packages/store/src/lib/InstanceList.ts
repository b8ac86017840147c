/** Where an instance stands in its life, as the platform sees it. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Whose process runs on the instance. */
export enum InstanceRole {
  Daemon = 'daemon',
  BackendServer = 'backend-server',
}

/**
 * One entry of the platform's list of instances. The list lags behind the truth.
 *
 * @public
 */
export interface Instance {
  /** The daemon's id, or the replica's id as in the register. */
  id: string;
  role: InstanceRole;
  state: InstanceState;
  availabilityZone: string;
  host: string;
  port: number;
}

/**
 * The platform's lagging list of live and leaving instances.
 *
 * @public
 */
export interface InstanceList {
  /** @throws StoreUnavailableError when the platform gives no answer */
  getInstances(): Promise<Instance[]>;
}
