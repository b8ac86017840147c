/** The lifecycle state of an instance as reported by the platform. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Which process runs on the instance. */
export enum InstanceRole {
  Daemon = 'daemon',
  BackendServer = 'backend-server',
}

/**
 * One entry of the platform's list of instances, which lags behind the actual state.
 *
 * @public
 */
export interface Instance {
  /** The id of the daemon, or of the replica in the register. */
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
  /** @throws StoreUnavailableError when the platform does not respond */
  getInstances(): Promise<Instance[]>;
}
