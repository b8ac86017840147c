import { createDeployment } from './createDeployment.js';
import type { DeploymentTraffic } from './createDeployment.js';
import type { CallShape, Deployment } from './Deployment.js';

// Lengths are assumptions: the users state which answers are long and which prompts share a
// catalogue or a contract history, but give no figures.

const shortCall: CallShape = {
  kind: 'plain',
  serviceTime: { median: 25, sigma: 0.4, limit: 80 },
};

const question: CallShape = {
  kind: 'chat',
  prompt: { median: 60, sigma: 0.8, limit: 500 },
  prefixTokens: 300,
  prefixesPerWorkspace: 1,
  answer: { median: 60, sigma: 0.9, limit: 300 },
};

const quoteDraft: CallShape = {
  kind: 'chat',
  prompt: { median: 300, sigma: 0.8, limit: 2000 },
  prefixTokens: 3000,
  prefixesPerWorkspace: 2,
  answer: { median: 350, sigma: 0.8, limit: 2000 },
};

const leaseSummary: CallShape = {
  kind: 'chat',
  prompt: { median: 2500, sigma: 0.7, limit: 12_000 },
  prefixTokens: 500,
  prefixesPerWorkspace: 1,
  answer: { median: 250, sigma: 0.7, limit: 1500 },
};

const liitto: DeploymentTraffic = {
  name: 'liitto',
  daemons: 9,
  networkDelay: 1.5,
  callerDelay: 3,
  traffic: [
    { className: 'status-check', service: 'jasenportaali', share: 0.8, shape: shortCall },
    { className: 'order-hold', service: 'jasenportaali', share: 0.2, shape: shortCall },
    { className: 'short-question', service: 'kielimalli', share: 0.35, shape: question },
    { className: 'quote-draft', service: 'kielimalli', share: 0.65, shape: quoteDraft },
  ],
  burstClass: { kielimalli: 'quote-draft', jasenportaali: 'status-check' },
};

const nubeTica: DeploymentTraffic = {
  name: 'nube-tica',
  daemons: 8,
  networkDelay: 1,
  callerDelay: 1,
  traffic: [
    { className: 'gate-check', service: 'bodega-app', share: 0.8, shape: shortCall },
    { className: 'payment-notice', service: 'bodega-app', share: 0.2, shape: shortCall },
    { className: 'quick-chat', service: 'asistente-llm', share: 0.4, shape: question },
    { className: 'lease-summary', service: 'asistente-llm', share: 0.6, shape: leaseSummary },
  ],
  burstClass: { 'asistente-llm': 'lease-summary', 'bodega-app': 'gate-check' },
};

/**
 * Creates both deployments at their present sizes, by name.
 *
 * @example
 * ```ts
 * const { liitto } = createDeployments();
 * ```
 * @public
 */
export function createDeployments(): Record<string, Deployment> {
  return {
    liitto: createDeployment(liitto),
    'nube-tica': createDeployment(nubeTica),
  };
}
