import {call} from './api.js';

/** Maximum number of rows; more make the page slow, and the filter finds the others. */
const MAX_ROWS = 100;

/** Creates an element with properties and children. */
export function element(tag, properties = {}, ...children) {
  const created = document.createElement(tag);
  for (const [name, value] of Object.entries(properties)) {
    if (name in created) {
      created[name] = value;
    } else {
      created.setAttribute(name, value);
    }
  }
  created.append(...children);
  return created;
}

export const idOf = (pointer) => 'field' + pointer.replaceAll('/', '-');

/** Creates a section whose inputs edit the document; onError receives failures of calls. */
export function section(spec, doc, onError) {
  const rows = element('div');
  const filter = element('input', {id: `filter-${spec.list}`, type: 'search'});
  const drawRows = (open = -1) => {
    rows.replaceChildren();
    const matching = doc[spec.list]
      .map((item, index) => [item, index])
      .filter(([item]) => item.name.includes(filter.value));
    for (const [item, index] of matching.slice(0, MAX_ROWS)) {
      rows.append(row(spec, doc, item, index, index === open, drawRows, onError));
    }
    if (matching.length > MAX_ROWS) {
      const hidden = matching.length - MAX_ROWS;
      rows.append(element('p', {className: 'hint'}, `${hidden} more; use the filter.`));
    }
  };
  filter.addEventListener('input', () => drawRows());
  const add = element('button', {type: 'button'}, `Add ${spec.singular}`);
  add.addEventListener('click', () => {
    filter.value = '';
    doc[spec.list].push(spec.create(doc));
    const added = doc[spec.list].length - 1;
    drawRows(added);
    const first = document.getElementById(idOf(`/${spec.list}/${added}/name`));
    (first || add).focus();
  });
  drawRows();
  return element(
    'section',
    {id: spec.list, 'aria-labelledby': `${spec.list}-title`},
    element('h2', {id: `${spec.list}-title`}, spec.title),
    element('div', {className: 'field'},
      element('label', {htmlFor: filter.id}, `Filter ${spec.title.toLowerCase()} by name`),
      filter),
    rows,
    add,
  );
}

function row(spec, doc, item, index, open, drawRows, onError) {
  const pointer = `/${spec.list}/${index}`;
  const title = element('span', {}, item.name || `new ${spec.singular}`);
  const body = element('div', {className: 'row'});
  const details = element('details', {}, element('summary', {id: idOf(pointer)}, title), body);
  const draw = () => {
    title.textContent = item.name || `new ${spec.singular}`;
    const remove = element('button', {type: 'button'}, `Remove ${spec.singular}`);
    remove.addEventListener('click', () => {
      doc[spec.list].splice(index, 1);
      drawRows();
    });
    body.replaceChildren(...fields(spec.fields, doc, item, pointer, draw, onError), remove);
  };
  // The fields of a row are created when it is opened: a document can have thousands of rows.
  details.addEventListener('toggle', () => {
    if (!details.open) {
      title.textContent = item.name || `new ${spec.singular}`;
      body.replaceChildren();
    } else if (!body.hasChildNodes()) {
      draw();
    }
  });
  if (open) {
    details.open = true;
    draw();
  }
  return details;
}

function fields(specs, doc, item, pointer, redraw, onError) {
  const drawn = [];
  for (const spec of specs) {
    if (spec.when && !spec.when(item, doc)) {
      delete item[spec.name];
      continue;
    }
    const childPointer = `${pointer}/${spec.name}`;
    if (spec.type === 'list') {
      drawn.push(listField(spec, doc, item, childPointer, redraw, onError));
    } else if (spec.type === 'keys') {
      drawn.push(keysField(spec, item, childPointer, redraw, onError));
    } else if (spec.type === 'choices') {
      drawn.push(choicesField(spec, doc, item, childPointer));
    } else {
      drawn.push(simpleField(spec, doc, item, childPointer, redraw));
    }
  }
  return drawn;
}

function simpleField(spec, doc, item, pointer, redraw) {
  const id = idOf(pointer);
  let input;
  if (spec.type === 'choice') {
    input = element('select', {id});
    const options = spec.options(doc);
    // A value that is no longer an option stays selected until the operator chooses another.
    const all = options.includes(item[spec.name]) ? options : [item[spec.name], ...options];
    for (const option of all) {
      const selected = option === item[spec.name];
      input.append(element('option', {value: option, selected}, option || '(none)'));
    }
    input.addEventListener('change', () => {
      item[spec.name] = input.value;
      redraw();
      document.getElementById(id).focus();
    });
  } else if (spec.type === 'checkbox') {
    input = element('input', {id, type: 'checkbox', checked: Boolean(item[spec.name])});
    input.addEventListener('change', () => { item[spec.name] = input.checked; });
  } else {
    const number = spec.type === 'number';
    input = element('input', {
      id,
      type: 'text',
      inputMode: number ? 'numeric' : 'text',
      autocomplete: 'off',
      spellcheck: false,
      value: item[spec.name] === undefined ? '' : String(item[spec.name]),
    });
    input.addEventListener('input', () => {
      // The finding concerned the text before this edit.
      input.removeAttribute('aria-invalid');
      const text = input.value.trim();
      // Invalid numbers are stored as text, so that validation reports them at this field.
      item[spec.name] = number && /^-?\d+$/.test(text) ? Number(text) : text;
    });
  }
  const label = element('label', {htmlFor: id}, spec.label);
  return element('div', {className: 'field'}, label, input);
}

function choicesField(spec, doc, item, pointer) {
  const group = element('fieldset', {className: 'choices', id: idOf(pointer)},
    element('legend', {}, spec.label));
  const chosen = item[spec.name];
  const all = [...new Set([...spec.options(doc), ...chosen])];
  all.forEach((option, index) => {
    const id = `${idOf(pointer)}-choice-${index}`;
    const input = element('input', {id, type: 'checkbox', checked: chosen.includes(option)});
    input.addEventListener('change', () => {
      item[spec.name] = input.checked
        ? [...item[spec.name], option]
        : item[spec.name].filter((name) => name !== option);
    });
    group.append(element('label', {htmlFor: id}, input, ` ${option}`));
  });
  return group;
}

function listField(spec, doc, item, pointer, redraw, onError) {
  const list = item[spec.name] || (item[spec.name] = []);
  const group = element('fieldset', {id: idOf(pointer)}, element('legend', {}, spec.label));
  list.forEach((inner, index) => {
    const childPointer = `${pointer}/${index}`;
    const remove = element('button', {type: 'button'}, `Remove ${spec.singular} ${index + 1}`);
    remove.addEventListener('click', () => {
      list.splice(index, 1);
      redraw();
    });
    group.append(element('fieldset', {id: idOf(childPointer)},
      element('legend', {}, `${spec.singular} ${index + 1}`),
      ...fields(spec.fields, doc, inner, childPointer, redraw, onError),
      remove));
  });
  const add = element('button', {type: 'button'}, `Add ${spec.singular}`);
  add.addEventListener('click', () => {
    list.push(spec.create());
    redraw();
  });
  group.append(add);
  return group;
}

/** Lists the ids of the keys; the secret text of a new key is shown only once. */
function keysField(spec, item, pointer, redraw, onError) {
  const group = element('fieldset', {id: idOf(pointer)}, element('legend', {}, spec.label));
  const list = element('ul');
  item.keys.forEach((key, index) => {
    const remove = element('button', {type: 'button'}, `Remove key ${key.id}`);
    remove.addEventListener('click', () => {
      item.keys.splice(index, 1);
      redraw();
    });
    list.append(element('li', {id: idOf(`${pointer}/${index}`)}, `${key.id} `, remove));
  });
  const id = `${idOf(pointer)}-new`;
  const input = element('input', {id, type: 'text', autocomplete: 'off', spellcheck: false});
  const secret = element('p', {className: 'secret', role: 'status'});
  const generateButton = element('button', {type: 'button'}, 'Make key');
  generateButton.addEventListener('click', async () => {
    try {
      const generated = await call('POST', '/api/keys', {id: input.value.trim()});
      item.keys.push(generated.entry);
      list.append(element('li', {}, generated.entry.id));
      secret.textContent = `Key, shown only now: ${generated.key}`;
      input.value = '';
    } catch (error) {
      onError(error);
    }
  });
  group.append(
    list,
    element('label', {htmlFor: id}, 'Id of a new key'),
    input,
    generateButton,
    secret);
  return group;
}
