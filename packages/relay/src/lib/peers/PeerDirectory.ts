/** The directory entry of a daemon. */
export interface PeerEntry {
  id: string;
  /** IP address and port; other daemons send datagrams and HTTP requests for objects to it. */
  address: string;
  /** Empty if unknown. */
  availabilityZone: string;
  /** What its instance can place for others; absent if its settings don't state the instance's size. */
  capacity?: number;
}

/**
 * The directory in which daemons find each other. Entries are stored on the platform and do not
 * expire; they last until they are removed.
 *
 * @public
 */
export interface PeerDirectory {
  /** Writes the entry, replacing an older one with the same ID. @throws StepError */
  register(entry: PeerEntry): Promise<void>;
  /** @throws StepError */
  remove(id: string): Promise<void>;
  /** @throws StepError */
  list(): Promise<PeerEntry[]>;
}
