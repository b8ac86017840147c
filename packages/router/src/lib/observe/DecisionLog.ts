import debug from 'debug';

/**
 * The steps of the request path and the areas of the control plane. Each has its own decision log
 * lines, enabled by `DEBUG=apricotrill:<step>`.
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
 * Logs one decision as one line of JSON.
 *
 * @internal
 */
export type DecisionLog = (step: DecisionStep, fields: object) => void;

/**
 * Creates the decision log of a daemon. A disabled step costs one check; nothing is serialized.
 *
 * @param daemon - the id of the daemon, included in every line
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
