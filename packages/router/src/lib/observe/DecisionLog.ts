import debug from 'debug';

/**
 * The filters of the request path and the duties of the control side: each has its own kind of
 * decision log line, switched by `DEBUG=apricotrill:<step>`.
 *
 * @internal
 */
export type DecisionStep =
  | 'identify'
  | 'claim'
  | 'admit'
  | 'choose'
  | 'relay'
  | 'settle'
  | 'membership'
  | 'configuration'
  | 'placement'
  | 'daemon';

/**
 * Writes one decision as one line of JSON.
 *
 * @internal
 */
export type DecisionLog = (step: DecisionStep, fields: object) => void;

/**
 * Creates the log of one daemon. A step that is switched off costs one check and no JSON.
 *
 * @param daemon - the daemon's id, in every line
 * @example
 * ```ts
 * const log = createDecisionLog('daemon-1');
 * log('choose', { request, replica, reason });
 * ```
 * @internal
 */
export function createDecisionLog(daemon: string): DecisionLog {
  const writers = new Map<DecisionStep, debug.Debugger>();
  return (step, fields) => {
    let writer = writers.get(step);
    if (writer === undefined) {
      writer = debug(`apricotrill:${step}`);
      writers.set(step, writer);
    }
    if (writer.enabled) {
      writer(JSON.stringify({ daemon, ...fields }));
    }
  };
}
