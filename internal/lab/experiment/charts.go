package experiment

import (
	"bytes"
	"html/template"
	"image/color"
	"regexp"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"hitchspring/internal/lab"
)

// variantColours distinguish the variants and are legible in light and dark colour schemes.
var variantColours = []color.Color{
	color.RGBA{0x2f, 0x7d, 0xd1, 0xff},
	color.RGBA{0xe0, 0x6c, 0x2f, 0xff},
	color.RGBA{0x3a, 0xa3, 0x5d, 0xff},
	color.RGBA{0xb0, 0x5a, 0xc4, 0xff},
	color.RGBA{0xc9, 0xa2, 0x27, 0xff},
	color.RGBA{0x5b, 0xa8, 0xb0, 0xff},
}

// variantColour returns the colour of the variant at index i. Colours repeat if there are more variants than colours.
func variantColour(i int) color.Color { return variantColours[i%len(variantColours)] }

// chart is a rendered plot with its title and explanation. Without data it is the zero value.
type chart struct {
	Title, Note string
	SVG         template.HTML
}

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
)

// newPlot returns a plot in the style of the page.
func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.BackgroundColor = color.Transparent
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Label.TextStyle.Font.Size, a.Tick.Label.Font.Size = 10, 9
		a.Label.TextStyle.Font.Variant, a.Tick.Label.Font.Variant = font.Variant("Sans"), font.Variant("Sans")
	}
	p.Legend.TextStyle.Font.Size, p.Legend.TextStyle.Font.Variant = 10, font.Variant("Sans")
	p.Legend.Top = true
	return p
}

var (
	svgSize       = regexp.MustCompile(`<svg width="[^"]*" height="[^"]*"`)
	svgProlog     = regexp.MustCompile(`(?s)^.*?<svg `)
	svgBlack      = regexp.MustCompile(`(fill|stroke):#000000`)
	svgFontFamily = regexp.MustCompile(`font-family:[^;"]*`)
)

// renderSVG renders a plot as inline SVG that adopts the page's width, text colour and font.
func renderSVG(p *plot.Plot, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(chartWidth, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := svgProlog.ReplaceAllString(b.String(), "<svg ")
	text = svgSize.ReplaceAllString(text, `<svg width="100%"`)
	text = svgBlack.ReplaceAllString(text, "$1:currentColor")
	text = svgFontFamily.ReplaceAllString(text, "font-family:inherit")
	return template.HTML(text), nil
}

// addMarks draws a dashed vertical line at each injected fault or other event of a run.
func addMarks(p *plot.Plot, marks []lab.TimelineEvent) error {
	for _, m := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.AtS, Y: p.Y.Min}, {X: m.AtS, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = color.Gray{0x90}, vg.Points(0.8), []vg.Length{3, 3}
		p.Add(line)
	}
	return nil
}
