/** Limits across all hosts that the soak configures and checks. */
const soakLimits = {
  quota: {
    customer: 'small',
    ratePerSecond: 12,
    burst: 12,
    window: 8_000,
    tolerance: 0.1,
    /** In requests; the users allow a slack of one second of a customer's usual rate. */
    slack: 12,
  },
  retries: { ratio: 0.2, window: 10_000, slack: 20 },
} as const;

export default soakLimits;
