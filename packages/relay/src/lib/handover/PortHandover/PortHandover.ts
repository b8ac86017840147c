import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RelayLog } from '../../observe/RelayEvent.js';
import { DAEMON_HEADER, RELEASE_PATH } from '../handoverProtocol.js';
import type { HolderStatement } from '../handoverProtocol.js';

/** Dependencies of {@link PortHandover}. */
export interface PortHandoverParts {
  daemon: string;
  log: RelayLog;
  isStopping: () => boolean;
  /** Closes the ports of this process; called once. */
  release: () => Promise<void>;
}

const OK = 200;
const NOT_FOUND = 404;

/**
 * Releases the ports of a daemon that shuts down to the process that takes its place, which may be started before
 * this one has completed its last requests. Without such a process, the ports stay open until the end.
 */
export class PortHandover {
  private isRequested = false;

  private isAllowed = false;

  private releasing: Promise<void> | undefined;

  constructor(private readonly parts: PortHandoverParts) {}

  /** Handles the requests of a successor. */
  readonly handler = (request: IncomingMessage, response: ServerResponse): void => {
    request.resume();
    if (request.method !== 'POST' || request.url !== RELEASE_PATH) {
      response.statusCode = NOT_FOUND;
      response.end();
      return;
    }
    const { daemon, log, isStopping } = this.parts;
    const isReleasing = isStopping() && request.headers[DAEMON_HEADER] === daemon;
    const holder: HolderStatement = { daemon, pid: process.pid, isReleasing };
    response.writeHead(OK, { 'content-type': 'application/json', connection: 'close' });
    response.end(JSON.stringify(holder));
    if (isReleasing && !this.isRequested) {
      this.isRequested = true;
      log({ event: 'ports-requested' });
      this.releaseIfPossible();
    }
  };

  /** Whether a process that takes the place of this one has asked for the ports. */
  get hasSuccessor(): boolean {
    return this.isRequested;
  }

  /** Called when this daemon accepts no more requests and needs its ports no more. */
  allow(): void {
    this.isAllowed = true;
    this.releaseIfPossible();
  }

  private releaseIfPossible(): void {
    if (!this.isRequested || !this.isAllowed || this.releasing !== undefined) {
      return;
    }
    const { log, release } = this.parts;
    this.releasing = release().then(
      () => log({ event: 'ports-released' }),
      (error: unknown) => log({ event: 'fault', step: 'release ports', error: String(error) }),
    );
  }
}
