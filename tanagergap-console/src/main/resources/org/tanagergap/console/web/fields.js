const MODEL = (item) => item.kind === 'model';
const PLAIN = (item) => item.kind === 'plain';
const serviceKind = (item, doc) =>
  (doc.services.find((service) => service.name === item.service) || {}).kind;

const names = (list) => (doc) => doc[list].map((item) => item.name);

/**
 * Forms of the document's lists. A field has a name, a label and a type: text, number, checkbox,
 * choice (one of options), choices (several of options), list (of objects with fields) or keys.
 * A field with "when" is removed from the object when the condition does not hold.
 */
export const SECTIONS = [
  {
    list: 'services',
    title: 'Services',
    singular: 'service',
    create: () => ({name: '', kind: 'model', model: '', max_prompt_tokens: 100000}),
    fields: [
      {name: 'name', label: 'Name', type: 'text'},
      {name: 'kind', label: 'Kind', type: 'choice', options: () => ['model', 'plain']},
      {name: 'model', label: 'Model', type: 'text', when: MODEL},
      {name: 'max_prompt_tokens', label: 'Largest prompt (tokens)', type: 'number', when: MODEL},
      {
        name: 'operations',
        label: 'Operations',
        singular: 'operation',
        type: 'list',
        when: PLAIN,
        create: () => ({method: 'GET', path_prefix: '/', idempotent: true}),
        fields: [
          {
            name: 'method',
            label: 'Method',
            type: 'choice',
            options: () => ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'],
          },
          {name: 'path_prefix', label: 'Path prefix', type: 'text'},
          {name: 'idempotent', label: 'May run more than once', type: 'checkbox'},
        ],
      },
    ],
  },
  {
    list: 'workspaces',
    title: 'Workspaces',
    singular: 'workspace',
    create: (doc) => ({
      name: '',
      weight: 1,
      services: names('services')(doc),
      ranks: names('ranks')(doc),
      default_rank: names('ranks')(doc)[0] || '',
      keys: [],
    }),
    fields: [
      {name: 'name', label: 'Name', type: 'text'},
      {name: 'weight', label: 'Weight', type: 'number'},
      {name: 'services', label: 'Services', type: 'choices', options: names('services')},
      {name: 'ranks', label: 'Ranks', type: 'choices', options: names('ranks')},
      {name: 'default_rank', label: 'Default rank', type: 'choice', options: names('ranks')},
      {name: 'keys', label: 'Keys', type: 'keys'},
    ],
  },
  {
    list: 'ranks',
    title: 'Ranks',
    singular: 'rank',
    create: (doc) => ({
      name: '',
      priority: Math.max(-1, ...doc.ranks.map((rank) => rank.priority)) + 1,
      floor_percent: 0,
      default_deadline_ms: 60000,
      max_deadline_ms: 600000,
    }),
    fields: [
      {name: 'name', label: 'Name', type: 'text'},
      {name: 'priority', label: 'Priority (lower runs first)', type: 'number'},
      {name: 'floor_percent', label: 'Floor (percent of service)', type: 'number'},
      {name: 'default_deadline_ms', label: 'Default deadline (ms)', type: 'number'},
      {name: 'max_deadline_ms', label: 'Longest deadline (ms)', type: 'number'},
    ],
  },
  {
    list: 'upstreams',
    title: 'Upstreams',
    singular: 'upstream',
    create: (doc) => ({
      name: '',
      service: names('services')(doc)[0] || '',
      agent_address: '',
      failure_domain: '',
      checks_fencing: false,
    }),
    fields: [
      {name: 'name', label: 'Name', type: 'text'},
      {name: 'service', label: 'Service', type: 'choice', options: names('services')},
      {name: 'agent_address', label: 'Agent address (host:port)', type: 'text'},
      {name: 'failure_domain', label: 'Failure domain', type: 'text'},
      {
        name: 'memory_tokens',
        label: 'Memory (tokens)',
        type: 'number',
        when: (item, doc) => serviceKind(item, doc) === 'model',
      },
      {
        name: 'concurrency',
        label: 'Most calls in flight',
        type: 'number',
        when: (item, doc) => serviceKind(item, doc) === 'plain',
      },
      {name: 'checks_fencing', label: 'Checks fencing numbers', type: 'checkbox'},
    ],
  },
];
