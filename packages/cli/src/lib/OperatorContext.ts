import type { PlatformStore } from '@apricotrill/store';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { BaseContext } from 'clipanion';
import type { MemberList } from './daemons/MemberList.js';

/** A store together with the function that closes its connections. */
export interface OpenStore {
  store: PlatformStore;
  dispose: () => Promise<void>;
}

/** The environment of the commands, which tests replace with fakes. */
export interface OperatorContext extends BaseContext {
  clock: Clock;
  /** Connects to the platform. */
  openStore: (url: string, timeout: Milliseconds) => OpenStore;
  /** Fetches the member list of the daemon at an admin address. @throws DaemonUnavailableError */
  fetchMembers: (address: string, timeout: Milliseconds) => Promise<MemberList>;
  /** The user who runs the command. */
  userName: string;
}
