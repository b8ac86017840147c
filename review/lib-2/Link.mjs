import { connect, createServer } from 'node:net';

/**
 * A link to a server. While it is cut, nothing passes in either direction and nothing tells either side: what was
 * open before goes on once the link has healed; what was opened meanwhile gets no answer, as if the packets that open
 * a connection had been dropped.
 */
// eslint-disable-next-line import-x/prefer-default-export -- as in all of this project
export class Link {
  constructor(port) {
    this.targetPort = port;
    this.isCut = false;
    this.pairs = new Set();
    this.server = createServer({ pauseOnConnect: true }, (near) => this.accept(near));
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
  }

  accept(near) {
    near.on('error', () => undefined);
    if (this.isCut) {
      const pair = { near };
      this.pairs.add(pair);
      near.once('close', () => this.pairs.delete(pair));
      near.resume();
      return;
    }
    const far = connect(this.targetPort, '127.0.0.1');
    far.on('error', () => near.destroy());
    near.on('error', () => far.destroy());
    const pair = { near, far };
    this.pairs.add(pair);
    far.pipe(near);
    near.pipe(far);
    far.once('close', () => near.destroy());
    near.once('close', () => {
      far.destroy();
      this.pairs.delete(pair);
    });
  }

  cut() {
    this.isCut = true;
    this.pairs.forEach(({ near, far }) => {
      near.unpipe();
      near.pause();
      far?.unpipe();
      far?.pause();
    });
  }

  heal() {
    this.isCut = false;
    this.pairs.forEach(({ near, far }) => {
      if (far !== undefined) {
        near.pipe(far);
        far.pipe(near);
      }
    });
  }

  close() {
    this.server.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far?.destroy();
    });
  }
}
