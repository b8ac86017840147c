/** A daemon as others find it. */
export interface PeerEntry {
  id: string;
  /** IP address and port, for datagrams and for reads of what it knows. */
  address: string;
  /** Empty where it isn't told. */
  availabilityZone: string;
}

/**
 * Where daemons find each other: entries on the platform, which last until they are removed.
 *
 * @public
 */
export interface PeerDirectory {
  /** Writes the entry, in place of an older one. @throws StepError */
  register(entry: PeerEntry): Promise<void>;
  /** @throws StepError */
  remove(id: string): Promise<void>;
  /** @throws StepError */
  list(): Promise<PeerEntry[]>;
}
