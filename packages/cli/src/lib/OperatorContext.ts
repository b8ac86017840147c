import type { PlatformStore } from '@apricotrill/store';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { BaseContext } from 'clipanion';
import type { MemberList } from './daemons/MemberList.js';

/** A store and how to close its connections. */
export interface OpenStore {
  store: PlatformStore;
  dispose: () => Promise<void>;
}

/** Everything around the commands, so that tests can put fakes in its place. */
export interface OperatorContext extends BaseContext {
  clock: Clock;
  /** Connects to the platform. */
  openStore: (url: string, timeout: Milliseconds) => OpenStore;
  /** Asks the daemon at an admin address for its members. @throws DaemonUnavailableError */
  askMembers: (address: string, timeout: Milliseconds) => Promise<MemberList>;
  /** Who runs the command. */
  userName: string;
}
