package operator

import (
	"embed"
	"io/fs"

	"github.com/labstack/echo/v4"
)

// pageFiles is the operators' page: it needs no build step.
//
//go:embed page
var pageFiles embed.FS

// registerPage serves the page at the root of the operators' interface.
func registerPage(server *echo.Echo) error {
	files, err := fs.Sub(pageFiles, "page")
	if err != nil {
		return err
	}
	server.StaticFS("/", files)
	return nil
}
